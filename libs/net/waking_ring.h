// Bounded single-producer, single-consumer ring whose consumer is an Asio event loop. The first push after the consumer
// became idle posts a task to the loop that empties the ring.
//
//     WakingRing<Datagram> ring(4096, requestsContext, [&](Datagram&& datagram) { machine.handle(datagram); });
//     ring.push(std::move(datagram)); // from exactly one other thread; false when full
//
// The ring must outlive the event loop's run().
#pragma once

#include "core/ring.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <utility>

namespace cicadaward {

template <typename T> class WakingRing {
public:
    using Handler = std::function<void(T&&)>;

    WakingRing(size_t capacity, boost::asio::io_context& consumer, Handler handler)
        : m_ring(capacity)
        , m_consumer(consumer)
        , m_handler(std::move(handler))
    {
    }

    bool push(T&& item)
    {
        bool accepted = m_ring.push(std::move(item));
        if (!m_isDrainScheduled.exchange(true))
            boost::asio::post(m_consumer, [this] { drain(); });
        return accepted;
    }

    size_t depth() const { return m_ring.depth(); }
    uint64_t refused() const { return m_ring.refused(); }

private:
    // Clears the flag before reading, so that an item pushed after the last pop schedules another drain.
    void drain()
    {
        m_isDrainScheduled.store(false);
        while (auto item = m_ring.pop())
            m_handler(std::move(*item));
    }

    Ring<T> m_ring;
    boost::asio::io_context& m_consumer;
    Handler m_handler;
    std::atomic<bool> m_isDrainScheduled { false };
};

} // namespace cicadaward
