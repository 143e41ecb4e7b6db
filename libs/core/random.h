// Seeded random source. State machines take a `Random&` in the constructor; equal seeds give equal decisions.
//
//     Random random(seed);
//     if (random.unit() < lossRate)
//         drop();
#pragma once

#include <cstdint>
#include <random>

namespace cicadaward {

class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    uint64_t next() { return m_engine(); }

    // Uniform in [0, bound). `bound` must not be 0. The modulo bias is below 2^-32 for bounds under 2^32.
    uint64_t below(uint64_t bound) { return m_engine() % bound; }

    // Uniform in [0, 1).
    double unit() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }

private:
    std::mt19937_64 m_engine;
};

} // namespace cicadaward
