#include "flow_record_file.h"

#include <boost/asio/post.hpp>

namespace cicadaward {

FlowRecordFile::FlowRecordFile(
    boost::asio::io_context& context, FileSystem& files, std::string folder, DoneCallback onDone)
    : m_context(context)
    , m_files(files)
    , m_folder(std::move(folder))
    , m_onDone(std::move(onDone))
{
}

FlowRecordFile::~FlowRecordFile()
{
    if (!m_thread.joinable())
        return;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void FlowRecordFile::write(std::string content)
{
    m_isBusy = true;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_content = std::move(content);
    }
    if (!m_thread.joinable())
        m_thread = std::thread([this] { run(); });
    m_wake.notify_one();
}

void FlowRecordFile::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_isStopping || m_content; });
        if (m_isStopping)
            return;
        std::string content = std::move(*m_content);
        m_content.reset();
        lock.unlock();
        absl::Status status = replaceFile(content);
        boost::asio::post(m_context, [this, status] {
            m_isBusy = false;
            m_onDone(status);
        });
        lock.lock();
    }
}

absl::Status FlowRecordFile::replaceFile(const std::string& content)
{
    // A write that failed or was cut off may have left the file, and openForAppend() does not truncate it.
    if (absl::Status status = m_files.remove(path(temporaryName)); !status.ok() && !absl::IsNotFound(status))
        return status;
    {
        absl::StatusOr<std::unique_ptr<AppendFile>> file = m_files.openForAppend(path(temporaryName));
        if (!file.ok())
            return file.status();
        if (absl::Status status = (*file)->append(content); !status.ok())
            return status;
        if (absl::Status status = (*file)->sync(); !status.ok())
            return status;
    }
    if (absl::Status status = m_files.rename(path(temporaryName), path(fileName)); !status.ok())
        return status;
    return m_files.syncDirectory(m_folder);
}

} // namespace cicadaward
