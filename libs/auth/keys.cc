#include "auth/keys.h"

#include <algorithm>
#include <fcntl.h>
#include <openssl/crypto.h>
#include <optional>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace cicadaward {
namespace {

    constexpr size_t maxFileBytes = 4096;

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

    bool parseHexKey(const std::string& hex, std::array<uint8_t, authKeyBytes>& bytes)
    {
        if (hex.size() != 2 * authKeyBytes)
            return false;
        for (size_t i = 0; i < authKeyBytes; ++i) {
            const int high = hexDigit(hex[2 * i]);
            const int low = hexDigit(hex[2 * i + 1]);
            if (high < 0 || low < 0)
                return false;
            bytes[i] = static_cast<uint8_t>(high << 4 | low);
        }
        return true;
    }

    // Returns an error message, or nullptr when the line is valid.
    const char* parseKeyLine(const std::string& line, AuthKey& key)
    {
        std::istringstream words(line);
        std::string id;
        std::string hex;
        std::string rest;
        words >> id >> hex;
        const bool isNumber = !id.empty() && id.size() <= 3 && id.find_first_not_of("0123456789") == std::string::npos;
        const int number = isNumber ? std::stoi(id) : 0;
        if (number < 1 || number > 255)
            return "the key id must be a number from 1 to 255";
        if (!parseHexKey(hex, key.bytes))
            return "a key must be written as 32 hexadecimal digits";
        if (words >> rest)
            return "nothing may follow the key";
        if (std::all_of(key.bytes.begin(), key.bytes.end(), [](uint8_t byte) { return byte == 0; }))
            return "a key must not be all zero";
        key.id = static_cast<uint8_t>(number);
        return nullptr;
    }

    class File {
    public:
        explicit File(const std::string& path)
            : m_descriptor(::open(path.c_str(), O_RDONLY | O_CLOEXEC))
        {
        }
        ~File()
        {
            if (m_descriptor >= 0)
                ::close(m_descriptor);
        }
        File(const File&) = delete;
        File& operator=(const File&) = delete;

        // Uses the open descriptor, so that the mode belongs to the file that is read even when the path is replaced
        // meanwhile.
        std::optional<mode_t> mode() const
        {
            struct stat status { };
            if (m_descriptor < 0 || ::fstat(m_descriptor, &status) != 0 || !S_ISREG(status.st_mode))
                return std::nullopt;
            return status.st_mode;
        }

        std::optional<std::string> read() const
        {
            std::string text(maxFileBytes + 1, '\0');
            size_t size = 0;
            while (size < text.size()) {
                const ssize_t count = ::read(m_descriptor, &text[size], text.size() - size);
                if (count < 0)
                    return std::nullopt;
                if (count == 0)
                    break;
                size += static_cast<size_t>(count);
            }
            text.resize(size);
            return text;
        }

    private:
        int m_descriptor;
    };

} // namespace

AuthKey::~AuthKey() { OPENSSL_cleanse(bytes.data(), bytes.size()); }

KeyRing parseKeys(const std::string& source, const std::string& text, Findings& findings)
{
    KeyRing keys;
    std::istringstream lines(text);
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        const size_t first = line.find_first_not_of(" \t\r");
        if (first == std::string::npos || line[first] == '#')
            continue;
        AuthKey key;
        if (const char* error = parseKeyLine(line, key)) {
            findings.add({ source, number, "" }, error);
            continue;
        }
        const auto sameId = [&](const AuthKey& other) { return other.id == key.id; };
        if (std::any_of(keys.begin(), keys.end(), sameId))
            findings.add({ source, number, "" }, "key id " + std::to_string(key.id) + " occurs twice");
        else if (keys.size() == maxKeys)
            findings.add({ source, number, "" }, "there may be at most 2 keys");
        else
            keys.push_back(key);
    }
    if (keys.empty() && findings.empty())
        findings.add({ source, 0, "" }, "contains no key");
    return keys;
}

KeyRing loadKeys(const std::string& path, Findings& findings)
{
    const File file(path);
    const std::optional<mode_t> mode = file.mode();
    if (!mode) {
        findings.add({ path, 0, "" }, "cannot be read, or is not a regular file");
        return {};
    }
    if ((*mode & (S_IWGRP | S_IRWXO)) != 0)
        findings.add(
            { path, 0, "" }, "must not be accessible to others, nor writable by its group (mode 0600 or 0640)");
    std::optional<std::string> text = file.read();
    if (!text || text->size() > maxFileBytes) {
        findings.add({ path, 0, "" }, "cannot be read, or is larger than 4 KiB");
        return {};
    }
    KeyRing keys = parseKeys(path, *text, findings);
    OPENSSL_cleanse(text->data(), text->size());
    return keys;
}

void KeyStore::replace(KeyRing keys)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_keys = std::move(keys);
    m_generation.fetch_add(1, std::memory_order_release);
}

KeyRing KeyStore::keys() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_keys;
}

bool reloadKeys(const std::string& path, KeyStore& keys, Findings& findings)
{
    Findings loadFindings;
    KeyRing loaded = loadKeys(path, loadFindings);
    for (const Finding& finding : loadFindings.all())
        findings.add(finding.place, finding.message);
    if (!loadFindings.empty())
        return false;
    keys.replace(std::move(loaded));
    return true;
}

} // namespace cicadaward
