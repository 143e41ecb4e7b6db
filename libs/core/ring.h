// Bounded queue between exactly two threads, one that pushes and one that pops. When it is full, push() refuses and the
// caller applies its own rule (drop and count, or wait). Counters may be read from any thread.
//
//     Ring<Datagram> ring(4096);
//     if (!ring.push(std::move(datagram)))
//         drops.add();
#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace cicadaward {

template <typename T> class Ring {
public:
    explicit Ring(size_t capacity)
        : m_queue(capacity)
        , m_capacity(capacity)
    {
    }

    bool push(T&& item)
    {
        if (m_queue.push(std::move(item)))
            return true;
        m_refused.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    std::optional<T> pop()
    {
        std::optional<T> result;
        m_queue.consume_one([&](T& item) { result.emplace(std::move(item)); });
        return result;
    }

    size_t capacity() const { return m_capacity; }
    size_t depth() const { return m_queue.read_available(); }
    uint64_t refused() const { return m_refused.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<T> m_queue;
    size_t m_capacity;
    std::atomic<uint64_t> m_refused { 0 };
};

} // namespace cicadaward
