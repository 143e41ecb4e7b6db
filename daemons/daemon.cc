#include "daemon.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <iostream>
#include <unistd.h>

namespace cicadaward {

EventLoopThread::EventLoopThread(std::string name)
    : m_name(std::move(name))
    , m_work(boost::asio::make_work_guard(m_context))
{
}

EventLoopThread::~EventLoopThread() { stop(); }

void EventLoopThread::start()
{
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), m_name.substr(0, 15).c_str());
        m_context.run();
    });
}

void EventLoopThread::stop()
{
    if (!m_thread.joinable())
        return;
    m_context.stop();
    m_thread.join();
}

void EventLoopThread::runEvery(Duration interval, std::function<void()> action)
{
    m_timers.push_back(std::make_unique<boost::asio::steady_timer>(m_context));
    schedule(*m_timers.back(), interval, std::move(action));
}

void EventLoopThread::schedule(boost::asio::steady_timer& timer, Duration interval, std::function<void()> action)
{
    timer.expires_after(interval);
    timer.async_wait([this, &timer, interval, action = std::move(action)](boost::system::error_code error) mutable {
        if (error)
            return;
        action();
        schedule(timer, interval, std::move(action));
    });
}

DaemonBase::DaemonBase(std::unique_ptr<EventLog> eventLog, KeyRing keyRing)
    : log(std::move(eventLog))
    , keys(std::move(keyRing))
    , process(static_cast<uint64_t>(clock().wallTime().count()))
    , seed(mixHash(process.value(), static_cast<uint64_t>(getpid())))
{
}

const SystemClock& DaemonBase::clock()
{
    static const SystemClock systemClock;
    return systemClock;
}

std::unique_ptr<DaemonBase> DaemonBase::create(const Settings& settings)
{
    auto log = EventLog::open(clock(), settings.isSet("log.file") ? settings.path("log.file") : "");
    if (!log.ok()) {
        std::cerr << log.status() << "\n";
        return nullptr;
    }
    Findings findings;
    KeyRing keys = loadKeys(settings.path("instance.id-key-file"), findings);
    if (!findings.empty()) {
        std::cerr << findings.report();
        (*log)->write(EventId::KeysRefused, { { "findings", findings.report() } });
        return nullptr;
    }
    auto base = std::make_unique<DaemonBase>(std::move(*log), std::move(keys));
    base->log->write(
        EventId::Started, { { "name", settings.text("instance.name") }, { "process", base->process.value() } });
    return base;
}

Endpoint toEndpoint(const ConfiguredEndpoint& endpoint) { return { endpoint.address, endpoint.port }; }

SignalWaiter::SignalWaiter()
    : m_signals(m_context, SIGTERM, SIGINT)
{
}

void SignalWaiter::run(const std::function<void()>& stop)
{
    std::function<void(boost::system::error_code, int)> handler = [&](boost::system::error_code error, int) {
        if (error)
            return;
        m_signals.async_wait(handler);
        if (!std::exchange(m_stopping, true))
            stop();
    };
    m_signals.async_wait(handler);
    m_context.run();
}

void SignalWaiter::done()
{
    boost::asio::post(m_context, [this] { m_context.stop(); });
}

} // namespace cicadaward
