#include "stream/stream_client.h"
#include "stream/connection.h"
#include "stream/status_codes.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>

namespace cicadaward {

using detail::Connection;
using detail::Tcp;

class StreamClient::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(
        boost::asio::io_context& context, const Tcp::endpoint& endpoint, Random random, StreamClientOptions options)
        : m_context(context)
        , m_endpoint(endpoint)
        , m_options(options)
        , m_backoff(random, options.backoff)
        , m_shared(std::make_shared<detail::ConnectionShared>())
        , m_timer(context)
    {
        m_shared->limits = options.limits;
        m_shared->budget.limit = options.limits.maxOpenBytes;
    }

    void post(std::string path, std::string body, std::chrono::milliseconds timeout, StreamCallback callback)
    {
        if (m_isStopped)
            return postFailure(std::move(callback), absl::CancelledError("the client was stopped"));
        if (body.size() > m_options.limits.maxBodyBytes || m_requests.size() >= m_options.maxOpenRequests
            || !m_shared->budget.tryReserve(body.size())) {
            ++m_shared->counters.refused;
            return postFailure(
                std::move(callback), absl::ResourceExhaustedError("too many requests or bytes are open"));
        }
        const uint64_t id = ++m_lastId;
        const size_t bytes = body.size();
        Request& request = m_requests
                               .emplace(id,
                                   Request { std::move(path), std::move(body), bytes, std::move(callback),
                                       boost::asio::steady_timer(m_context, timeout), 0 })
                               .first->second;
        request.timer.async_wait([weak = weak_from_this(), id](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self)
                self->handleRequestTimeout(id);
        });
        m_queue.insert(id);
        if (m_state == State::Idle)
            connect();
        else if (m_state == State::Connected)
            sendQueued();
    }

    void stop()
    {
        disconnect();
        std::map<uint64_t, Request> requests = removeAllRequests();
        for (auto& [id, request] : requests)
            postFailure(std::move(request.callback), absl::CancelledError("the client was stopped"));
    }

    void disconnectWithoutCallbacks()
    {
        m_isDestroyed = true;
        disconnect();
        removeAllRequests();
    }

    bool isConnected() const { return m_state == State::Connected; }
    size_t openRequests() const { return m_requests.size(); }
    const detail::ConnectionShared& shared() const { return *m_shared; }

private:
    enum class State {
        Idle,
        Connecting,
        Connected,
        Waiting, // for the next attempt
    };

    struct Request {
        std::string path;
        std::string body; // empty once it was handed to the connection
        size_t bytes;
        StreamCallback callback;
        boost::asio::steady_timer timer;
        int32_t stream; // 0 while it is in the queue
    };

    // Callbacks never run inside the call that refuses the request.
    void postFailure(StreamCallback callback, absl::Status status)
    {
        boost::asio::post(
            m_context, [self = shared_from_this(), callback = std::move(callback), status = std::move(status)] {
                if (!self->m_isDestroyed)
                    callback(status);
            });
    }

    void disconnect()
    {
        m_isStopped = true;
        boost::system::error_code ignored;
        m_timer.cancel(ignored);
        if (m_socket)
            m_socket->close(ignored);
        if (m_connection)
            m_connection->closeWithoutEvents();
        m_connection.reset();
        m_state = State::Idle;
    }

    std::map<uint64_t, Request> removeAllRequests()
    {
        m_queue.clear();
        m_byStream.clear();
        std::map<uint64_t, Request> requests;
        requests.swap(m_requests);
        for (const auto& [id, request] : requests)
            m_shared->budget.release(request.bytes);
        return requests;
    }

    void finish(uint64_t id, absl::StatusOr<std::string> result)
    {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        const Request request = std::move(found->second);
        m_requests.erase(found);
        m_queue.erase(id);
        m_byStream.erase(request.stream);
        m_shared->budget.release(request.bytes);
        request.callback(std::move(result));
    }

    void handleRequestTimeout(uint64_t id)
    {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        const int32_t stream = found->second.stream;
        if (stream != 0 && m_connection)
            m_connection->cancel(stream);
        finish(id, absl::DeadlineExceededError("no answer in time"));
    }

    void connect()
    {
        m_state = State::Connecting;
        m_socket.emplace(m_context);
        const uint64_t attempt = ++m_attempt;
        m_timer.expires_after(m_options.connectTimeout);
        m_timer.async_wait([weak = weak_from_this(), attempt](boost::system::error_code error) {
            const auto self = weak.lock();
            if (error || !self || self->m_isStopped || self->m_attempt != attempt || self->m_state != State::Connecting)
                return;
            boost::system::error_code ignored;
            self->m_socket->close(ignored);
        });
        m_socket->async_connect(m_endpoint, [weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            // The time limit may close the socket after it was connected and before this call.
            if (error || !self->m_socket->is_open())
                return self->scheduleReconnect();
            self->handleConnected();
        });
    }

    void handleConnected()
    {
        m_state = State::Connected;
        m_connection = std::make_shared<Connection>(std::move(*m_socket), detail::ConnectionRole::Client, m_shared,
            [weak = weak_from_this()](const std::shared_ptr<Connection>&, detail::ConnectionEvent event) {
                if (const auto self = weak.lock(); self && !self->m_isStopped)
                    std::visit([&](auto& kind) { self->handleEvent(kind); }, event);
            });
        m_socket.reset();
        const auto connection = m_connection;
        connection->start();
        sendQueued();
    }

    // Reconnects only when a request waits; otherwise the next one starts the attempt.
    void scheduleReconnect()
    {
        m_state = State::Waiting;
        m_timer.expires_after(m_backoff.next());
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (error || !self || self->m_isStopped)
                return;
            self->m_state = State::Idle;
            if (!self->m_queue.empty())
                self->connect();
        });
    }

    void sendQueued()
    {
        while (m_state == State::Connected && !m_queue.empty()) {
            const uint64_t id = *m_queue.begin();
            Request& request = m_requests.at(id);
            const int32_t stream = m_connection->sendRequest(request.path, request.body);
            // The connection is about to report its end; the request stays in the queue for the next one.
            if (stream < 0)
                return;
            m_queue.erase(id);
            request.stream = stream;
            m_byStream[stream] = id;
        }
    }

    void handleEvent(detail::MessageReceived& message)
    {
        m_backoff.reset();
        const auto found = m_byStream.find(message.stream);
        if (found == m_byStream.end())
            return;
        if (message.status == 200)
            finish(found->second, std::move(message.body));
        else
            finish(found->second, detail::fromHttpStatus(message.status, message.body));
    }

    void handleEvent(detail::StreamFailed& failed)
    {
        const auto found = m_byStream.find(failed.stream);
        if (found != m_byStream.end())
            finish(found->second, failed.status);
    }

    void handleEvent(detail::ConnectionClosed& closed)
    {
        m_connection.reset();
        scheduleReconnect();
        const std::map<int32_t, uint64_t> lost = std::move(m_byStream);
        m_byStream.clear();
        for (const auto& [stream, id] : lost)
            finish(id, absl::UnavailableError(closed.status.message()));
    }

    boost::asio::io_context& m_context;
    const Tcp::endpoint m_endpoint;
    const StreamClientOptions m_options;
    Backoff m_backoff;
    const std::shared_ptr<detail::ConnectionShared> m_shared;
    boost::asio::steady_timer m_timer;
    std::optional<Tcp::socket> m_socket;
    std::shared_ptr<Connection> m_connection;
    State m_state = State::Idle;
    uint64_t m_attempt = 0;
    uint64_t m_lastId = 0;
    std::map<uint64_t, Request> m_requests;
    std::set<uint64_t> m_queue; // ids in the order of post()
    std::map<int32_t, uint64_t> m_byStream;
    bool m_isStopped = false;
    bool m_isDestroyed = false;
};

StreamClient::StreamClient(
    boost::asio::io_context& context, const Tcp::endpoint& endpoint, Random random, StreamClientOptions options)
    : m_implementation(std::make_shared<Implementation>(context, endpoint, random, options))
{
}

StreamClient::~StreamClient() { m_implementation->disconnectWithoutCallbacks(); }

void StreamClient::post(std::string path, std::string body, std::chrono::milliseconds timeout, StreamCallback callback)
{
    m_implementation->post(std::move(path), std::move(body), timeout, std::move(callback));
}

void StreamClient::stop() { m_implementation->stop(); }

bool StreamClient::isConnected() const { return m_implementation->isConnected(); }

size_t StreamClient::openRequests() const { return m_implementation->openRequests(); }

size_t StreamClient::openBytes() const { return m_implementation->shared().budget.used; }

const StreamCounters& StreamClient::counters() const { return m_implementation->shared().counters; }

} // namespace cicadaward
