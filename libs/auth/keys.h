// Pre-shared keys and their file. Each line is "id hex32": an id from 1 to 255 and 16 bytes in hexadecimal. Empty lines
// and lines that start with '#' are ignored. The first key seals outgoing messages; messages sealed with any key of
// the file are accepted.
//
//     Findings findings;
//     KeyStore keys(loadKeys("/etc/cicadaward/keys", findings));
//     ...
//     if (!reloadKeys("/etc/cicadaward/keys", keys, reloadFindings)) // on success, every Authenticator uses the new
//     keys at once
//         log.write(EventId::KeysRefused, { { "findings", reloadFindings.report() } }); // the previous keys stay
#pragma once

#include "core/findings.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace cicadaward {

constexpr size_t authKeyBytes = 16; // bytes
constexpr size_t maxKeys = 2; // the current key and, during a rotation, the next or the previous one

// The destructor overwrites the key bytes.
struct AuthKey {
    AuthKey() = default;
    AuthKey(const AuthKey&) = default;
    AuthKey& operator=(const AuthKey&) = default;
    ~AuthKey();

    uint8_t id = 0;
    std::array<uint8_t, authKeyBytes> bytes {};
};

using KeyRing = std::vector<AuthKey>;

// Parses the text of a key file. Findings name the file as `source` and never contain key bytes.
KeyRing parseKeys(const std::string& source, const std::string& text, Findings& findings);

// Reads at most 4 KiB. Adds a finding when the group may write the file or others may access it at all.
KeyRing loadKeys(const std::string& path, Findings& findings);

// The keys of the process. Thread-safe; all threads of the process share one object.
class KeyStore {
public:
    explicit KeyStore(KeyRing keys)
        : m_keys(std::move(keys))
    {
    }

    void replace(KeyRing keys);
    KeyRing keys() const;

    // Changes with each replacement; costs one atomic load.
    uint64_t generation() const { return m_generation.load(std::memory_order_acquire); }

private:
    mutable std::mutex m_mutex;
    KeyRing m_keys;
    std::atomic<uint64_t> m_generation { 1 };
};

// Replaces the keys by those of the file. When the file causes any finding, changes nothing and returns false.
bool reloadKeys(const std::string& path, KeyStore& keys, Findings& findings);

} // namespace cicadaward
