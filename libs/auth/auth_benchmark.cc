// Cost of sealing and opening one message, and the allocations of OpenSSL on that path.
// Usage: build/libs/auth/auth_benchmark
#include "auth/authenticator.h"

#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <openssl/crypto.h>

namespace {

using namespace cicadaward;

std::atomic<uint64_t> allocations { 0 };

void* countedMalloc(size_t size, const char*, int)
{
    ++allocations;
    return std::malloc(size);
}

void* countedRealloc(void* memory, size_t size, const char*, int)
{
    ++allocations;
    return std::realloc(memory, size);
}

void countedFree(void* memory, const char*, int) { std::free(memory); }

KeyStore makeKeys()
{
    Findings findings;
    return KeyStore(parseKeys("benchmark", "1 000102030405060708090a0b0c0d0e0f", findings));
}

void seal(benchmark::State& state)
{
    const KeyStore keys = makeKeys();
    Authenticator authenticator(keys);
    const auto size = static_cast<size_t>(state.range(0));
    std::string buffer(size + sealTrailerBytes, 'x');
    auto* data = reinterpret_cast<uint8_t*>(buffer.data());
    authenticator.seal(data, size, MessagePurpose::Packet, 0);
    const uint64_t before = allocations;
    uint64_t sequence = 0;
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(authenticator.seal(data, size, MessagePurpose::Packet, ++sequence));
    state.counters["allocations"] = static_cast<double>(allocations - before);
}

void open(benchmark::State& state)
{
    const KeyStore keys = makeKeys();
    Authenticator authenticator(keys);
    std::string message(static_cast<size_t>(state.range(0)), 'x');
    authenticator.seal(message, MessagePurpose::Packet, 1);
    const auto* data = reinterpret_cast<const uint8_t*>(message.data());
    const uint64_t before = allocations;
    for ([[maybe_unused]] auto _ : state) {
        const OpenResult result = authenticator.open(data, message.size(), MessagePurpose::Packet);
        if (result.status != OpenStatus::Valid)
            state.SkipWithError("the message was refused");
    }
    state.counters["allocations"] = static_cast<double>(allocations - before);
}

BENCHMARK(seal)->Arg(100)->Arg(1400);
BENCHMARK(open)->Arg(100)->Arg(1400);

} // namespace

int main(int argc, char** argv)
{
    if (CRYPTO_set_mem_functions(countedMalloc, countedRealloc, countedFree) != 1)
        return 1;
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
