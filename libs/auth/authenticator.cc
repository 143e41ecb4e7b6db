// Each authenticator has one EVP_MAC context and initializes it with the key for every message: duplicating a prepared
// context allocates, and OpenSSL 3.0 does not reset a SipHash context that is initialized without a key.
#include "auth/authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdexcept>

namespace cicadaward {
namespace {

    constexpr size_t hashSize = 16;
    constexpr size_t hashOffset = sealTrailerBytes - hashSize;

} // namespace

struct Authenticator::Context {
    Context()
        : algorithm(EVP_MAC_fetch(nullptr, "SIPHASH", nullptr), EVP_MAC_free)
        , context(algorithm ? EVP_MAC_CTX_new(algorithm.get()) : nullptr, EVP_MAC_CTX_free)
    {
        if (!context)
            throw std::runtime_error("OpenSSL provides no SipHash");
    }

    std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> algorithm;
    std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context;
};

Authenticator::Authenticator(const KeyStore& keys)
    : m_keyStore(keys)
    , m_context(std::make_unique<Context>())
{
}

Authenticator::~Authenticator() = default;

void Authenticator::refreshKeys()
{
    const uint64_t generation = m_keyStore.generation();
    if (generation == m_generation)
        return;
    m_keys = m_keyStore.keys();
    m_generation = generation;
}

bool Authenticator::computeHash(
    const AuthKey& key, const uint8_t* data, size_t size, MessagePurpose purpose, uint8_t* out)
{
    EVP_MAC_CTX* context = m_context->context.get();
    const auto purposeByte = static_cast<uint8_t>(purpose);
    size_t written = 0;
    return EVP_MAC_init(context, key.bytes.data(), key.bytes.size(), nullptr) == 1
        && EVP_MAC_update(context, data, size) == 1 && EVP_MAC_update(context, &purposeByte, 1) == 1
        && EVP_MAC_final(context, out, &written, hashSize) == 1 && written == hashSize;
}

size_t Authenticator::seal(uint8_t* buffer, size_t size, MessagePurpose purpose, uint64_t sequence)
{
    refreshKeys();
    if (m_keys.empty())
        return 0;
    const AuthKey& key = m_keys.front();
    uint8_t* trailer = buffer + size;
    trailer[0] = key.id;
    for (int i = 0; i < 8; ++i)
        trailer[1 + i] = static_cast<uint8_t>(sequence >> (56 - 8 * i));
    if (!computeHash(key, buffer, size + hashOffset, purpose, trailer + hashOffset))
        return 0;
    return size + sealTrailerBytes;
}

bool Authenticator::seal(std::string& message, MessagePurpose purpose, uint64_t sequence)
{
    const size_t size = message.size();
    message.resize(size + sealTrailerBytes);
    return seal(reinterpret_cast<uint8_t*>(message.data()), size, purpose, sequence) != 0;
}

OpenResult Authenticator::open(const uint8_t* data, size_t size, MessagePurpose purpose)
{
    refreshKeys();
    OpenResult result;
    if (size < sealTrailerBytes)
        return result;
    const uint8_t* trailer = data + size - sealTrailerBytes;
    result.payloadSize = size - sealTrailerBytes;
    result.keyId = trailer[0];
    for (int i = 0; i < 8; ++i)
        result.sequence = result.sequence << 8 | trailer[1 + i];
    result.status = OpenStatus::UnknownKey;
    for (const AuthKey& key : m_keys) {
        if (key.id != result.keyId)
            continue;
        uint8_t expected[hashSize];
        const bool valid = computeHash(key, data, size - hashSize, purpose, expected)
            && CRYPTO_memcmp(expected, trailer + hashOffset, hashSize) == 0;
        result.status = valid ? OpenStatus::Valid : OpenStatus::WrongHash;
        m_openedMessageCounts[key.id] += valid ? 1 : 0;
    }
    return result;
}

OpenResult Authenticator::open(std::string& message, MessagePurpose purpose)
{
    const OpenResult result = open(reinterpret_cast<const uint8_t*>(message.data()), message.size(), purpose);
    if (result.status == OpenStatus::Valid)
        message.resize(result.payloadSize);
    return result;
}

} // namespace cicadaward
