#include "store/posix_file_system.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace cicadaward {

namespace {

    absl::Status errnoStatus(const std::string& operation, const std::string& path, int error)
    {
        std::string text = path + ": " + operation + ": " + std::generic_category().message(error);
        switch (error) {
        case ENOENT:
            return absl::NotFoundError(text);
        case ENOSPC:
        case EDQUOT:
            return absl::ResourceExhaustedError(text);
        case EACCES:
        case EPERM:
            return absl::PermissionDeniedError(text);
        default:
            return absl::UnavailableError(text);
        }
    }

    // Owns a file descriptor and closes it on destruction.
    class Descriptor {
    public:
        explicit Descriptor(int fd)
            : m_fd(fd)
        {
        }
        Descriptor(Descriptor&& other) noexcept
            : m_fd(std::exchange(other.m_fd, -1))
        {
        }
        Descriptor(const Descriptor&) = delete;
        Descriptor& operator=(const Descriptor&) = delete;
        Descriptor& operator=(Descriptor&&) = delete;
        ~Descriptor()
        {
            if (m_fd >= 0)
                ::close(m_fd);
        }
        int fd() const { return m_fd; }

    private:
        int m_fd;
    };

    absl::Status syncDescriptor(const Descriptor& descriptor, const std::string& path)
    {
        // fsync is not retried after an error: the kernel may have dropped the dirty pages, and a retry would return
        // success.
        if (::fsync(descriptor.fd()) != 0)
            return errnoStatus("fsync", path, errno);
        return absl::OkStatus();
    }

    class PosixAppendFile final : public AppendFile {
    public:
        PosixAppendFile(Descriptor descriptor, std::string path)
            : m_descriptor(std::move(descriptor))
            , m_path(std::move(path))
        {
        }
        absl::Status append(const std::string& bytes) override
        {
            size_t bytesWritten = 0;
            while (bytesWritten < bytes.size()) {
                ssize_t written = ::write(m_descriptor.fd(), bytes.data() + bytesWritten, bytes.size() - bytesWritten);
                if (written < 0 && errno == EINTR)
                    continue;
                if (written < 0)
                    return errnoStatus("write", m_path, errno);
                if (written == 0)
                    return errnoStatus("write", m_path, EIO);
                bytesWritten += static_cast<size_t>(written);
            }
            return absl::OkStatus();
        }
        absl::Status sync() override { return syncDescriptor(m_descriptor, m_path); }

    private:
        Descriptor m_descriptor;
        std::string m_path;
    };

    class PosixFileLock final : public FileLock {
    public:
        explicit PosixFileLock(Descriptor descriptor)
            : m_descriptor(std::move(descriptor))
        {
        }

    private:
        Descriptor m_descriptor; // closing it releases the lock
    };

} // namespace

absl::Status PosixFileSystem::createDirectory(const std::string& path)
{
    if (::mkdir(path.c_str(), 0750) == 0) {
        // The new directory entry is durable only after the parent directory is synced.
        std::string parent = std::filesystem::absolute(path).lexically_normal().parent_path().string();
        return syncDirectory(parent);
    }
    int error = errno;
    std::error_code ignored;
    if (error == EEXIST && std::filesystem::is_directory(path, ignored))
        return absl::OkStatus();
    return errnoStatus("mkdir", path, error);
}

absl::StatusOr<std::vector<std::string>> PosixFileSystem::list(const std::string& directory)
{
    std::vector<std::string> names;
    std::error_code error;
    for (std::filesystem::directory_iterator i(directory, error), end; !error && i != end; i.increment(error))
        names.push_back(i->path().filename().string());
    if (error)
        return errnoStatus("list", directory, error.value());
    std::sort(names.begin(), names.end());
    return names;
}

absl::StatusOr<std::string> PosixFileSystem::read(const std::string& path)
{
    Descriptor descriptor(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (descriptor.fd() < 0)
        return errnoStatus("open", path, errno);
    std::string content;
    std::string buffer(1 << 16, '\0');
    for (;;) {
        ssize_t bytesRead = ::read(descriptor.fd(), buffer.data(), buffer.size());
        if (bytesRead < 0 && errno == EINTR)
            continue;
        if (bytesRead < 0)
            return errnoStatus("read", path, errno);
        if (bytesRead == 0)
            return content;
        content.append(buffer, 0, static_cast<size_t>(bytesRead));
    }
}

absl::StatusOr<std::unique_ptr<AppendFile>> PosixFileSystem::openForAppend(const std::string& path)
{
    Descriptor descriptor(::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0640));
    if (descriptor.fd() < 0)
        return errnoStatus("open", path, errno);
    return std::make_unique<PosixAppendFile>(std::move(descriptor), path);
}

absl::Status PosixFileSystem::rename(const std::string& from, const std::string& to)
{
    if (::rename(from.c_str(), to.c_str()) != 0)
        return errnoStatus("rename", from, errno);
    return absl::OkStatus();
}

absl::Status PosixFileSystem::remove(const std::string& path)
{
    if (::unlink(path.c_str()) != 0)
        return errnoStatus("unlink", path, errno);
    return absl::OkStatus();
}

absl::Status PosixFileSystem::syncDirectory(const std::string& path)
{
    Descriptor descriptor(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (descriptor.fd() < 0)
        return errnoStatus("open", path, errno);
    return syncDescriptor(descriptor, path);
}

absl::StatusOr<std::unique_ptr<FileLock>> PosixFileSystem::lock(const std::string& path)
{
    Descriptor descriptor(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640));
    if (descriptor.fd() < 0)
        return errnoStatus("open", path, errno);
    if (::flock(descriptor.fd(), LOCK_EX | LOCK_NB) != 0) {
        if (errno == EWOULDBLOCK)
            return absl::FailedPreconditionError(path + ": locked by another process");
        return errnoStatus("flock", path, errno);
    }
    return std::make_unique<PosixFileLock>(std::move(descriptor));
}

} // namespace cicadaward
