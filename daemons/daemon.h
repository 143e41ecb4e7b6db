// What the daemons cicadaward-entry, cicadaward-agent and cicadaward-control share: the event log, keys, metrics,
// threads with an event loop each, and the graceful shutdown on SIGTERM or SIGINT.
//
//     EventLoopThread packets("packets");
//     packets.start();
//     ...
//     packets.stop(); // ends the loop and joins the thread
#pragma once

#include "auth/authenticator.h"
#include "core/clock.h"
#include "core/random.h"
#include "directory/directory.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "settings/settings.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace cicadaward {

// One thread that runs one event loop. Objects that use the loop must be created before start() or on the thread
// itself.
class EventLoopThread {
public:
    explicit EventLoopThread(std::string name);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread&) = delete;
    EventLoopThread& operator=(const EventLoopThread&) = delete;

    boost::asio::io_context& context() { return m_context; }
    void start();
    void stop();

    // Calls `action` on the thread at this interval until the loop ends. Must be called before start().
    void runEvery(Duration interval, std::function<void()> action);

private:
    void schedule(boost::asio::steady_timer&, Duration, std::function<void()> action);

    std::string m_name;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> m_timers;
    std::thread m_thread;
};

// Everything that a daemon needs before it starts its threads. create() returns null on failure, after it has written
// the reason to standard error or the event log.
struct DaemonBase {
    DaemonBase(std::unique_ptr<EventLog> eventLog, KeyRing keyRing);

    static std::unique_ptr<DaemonBase> create(const Settings&);

    static const SystemClock& clock();

    std::unique_ptr<EventLog> log;
    KeyStore keys;
    MetricRegistry metrics;
    Incarnation process; // milliseconds since 1970 when the process started
    uint64_t seed; // for the random number generators; differs between processes
    std::atomic<bool> failed { false }; // the daemon stops because of a failure, so the exit code is 1
};

Endpoint toEndpoint(const ConfiguredEndpoint&);

// Waits for SIGTERM or SIGINT, then calls `stop` once; later signals are ignored. run() returns after done() has been
// called.
class SignalWaiter {
public:
    SignalWaiter();
    void run(const std::function<void()>& stop);
    void done(); // from any thread

private:
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    bool m_stopping = false;
};

} // namespace cicadaward
