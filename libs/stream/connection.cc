#include "stream/connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace cicadaward::detail {
namespace {

    constexpr size_t maxPathBytes = 1024;
    constexpr size_t readChunkBytes = 64 << 10;
    constexpr size_t writeChunkBytes = 64 << 10;
    // A buffer above this size is freed when it is empty, because a control instance has hundreds of idle connections.
    constexpr size_t maxIdleBufferBytes = 4 << 10;
    constexpr uint32_t streamWindowBytes = 1 << 20;
    constexpr int32_t connectionWindowBytes = 16 << 20;

    nghttp2_nv makeHeader(const char* name, const std::string& value)
    {
        // nghttp2 copies both, so the cast away from const is safe.
        return { reinterpret_cast<uint8_t*>(const_cast<char*>(name)),
            reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())), std::strlen(name), value.size(),
            NGHTTP2_NV_FLAG_NONE };
    }

    std::string toString(const uint8_t* data, size_t size) { return { reinterpret_cast<const char*>(data), size }; }

} // namespace

// nghttp2's callbacks. They change the stream table and collect events, nothing else.
struct Connection::Callbacks {
    static Connection& self(void* user) { return *static_cast<Connection*>(user); }

    static Stream* find(void* user, int32_t id)
    {
        const auto found = self(user).m_streams.find(id);
        return found == self(user).m_streams.end() ? nullptr : &found->second;
    }

    static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            Stream& stream = self(user).m_streams[frame->hd.stream_id];
            stream.incoming.stream = frame->hd.stream_id;
            stream.transferStart = std::chrono::steady_clock::now();
        }
        return 0;
    }

    static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const uint8_t* name, size_t nameSize,
        const uint8_t* value, size_t valueSize, uint8_t, void* user)
    {
        Stream* stream = find(user, frame->hd.stream_id);
        if (!stream)
            return 0;
        if (valueSize > maxPathBytes)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        const std::string key = toString(name, nameSize);
        if (key == ":path")
            stream->incoming.path = toString(value, valueSize);
        else if (key == ":method")
            stream->incoming.method = toString(value, valueSize);
        else if (key == ":status")
            stream->incoming.status = std::atoi(toString(value, valueSize).c_str());
        return 0;
    }

    static int onDataChunk(nghttp2_session* session, uint8_t, int32_t id, const uint8_t* data, size_t size, void* user)
    {
        Connection& connection = self(user);
        Stream* stream = find(user, id);
        if (!stream)
            return 0;
        if (stream->incoming.body.size() + size > connection.m_shared->limits.maxBodyBytes) {
            connection.m_peerError = "a body exceeds the limit";
            connection.releaseStream(id);
            return nghttp2_session_terminate_session(session, NGHTTP2_ENHANCE_YOUR_CALM);
        }
        if (!connection.m_shared->budget.tryReserve(size)) {
            ++connection.m_shared->counters.refused;
            connection.m_events.emplace_back(
                StreamFailed { id, absl::ResourceExhaustedError("too many bytes in open requests") });
            connection.releaseStream(id);
            return nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
        }
        stream->reservedBytes += size;
        stream->incoming.body.append(reinterpret_cast<const char*>(data), size);
        return 0;
    }

    static int onFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        Connection& connection = self(user);
        if (frame->hd.type == NGHTTP2_GOAWAY)
            connection.m_hasReceivedGoaway = true;
        const bool isMessage = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!isMessage || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
            return 0;
        Stream* stream = find(user, frame->hd.stream_id);
        if (!stream || stream->isComplete)
            return 0;
        stream->isComplete = true;
        connection.m_events.emplace_back(std::move(stream->incoming));
        return 0;
    }

    static int onFrameSent(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        Connection& connection = self(user);
        if (frame->hd.type == NGHTTP2_GOAWAY && frame->goaway.error_code != NGHTTP2_NO_ERROR
            && connection.m_peerError.empty())
            connection.m_peerError = nghttp2_http2_strerror(frame->goaway.error_code);
        return 0;
    }

    static int onStreamClosed(nghttp2_session*, int32_t id, uint32_t code, void* user)
    {
        Connection& connection = self(user);
        const Stream* stream = find(user, id);
        if (!stream)
            return 0;
        if (connection.m_role == ConnectionRole::Client && !stream->isComplete) {
            const std::string reason = std::string("the peer ended the stream: ") + nghttp2_http2_strerror(code);
            connection.m_events.emplace_back(StreamFailed { id,
                code == NGHTTP2_ENHANCE_YOUR_CALM ? absl::ResourceExhaustedError(reason)
                                                  : absl::UnavailableError(reason) });
        }
        connection.releaseStream(id);
        return 0;
    }

    static ssize_t readBody(
        nghttp2_session*, int32_t id, uint8_t* buffer, size_t size, uint32_t* flags, nghttp2_data_source*, void* user)
    {
        Stream* stream = find(user, id);
        if (!stream)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        const size_t count = std::min(size, stream->outgoing.size() - stream->sentBytes);
        std::memcpy(buffer, stream->outgoing.data() + stream->sentBytes, count);
        stream->sentBytes += count;
        if (stream->sentBytes == stream->outgoing.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }

    static nghttp2_session* makeSession(Connection& connection)
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_option* option = nullptr;
        nghttp2_session* session = nullptr;
        if (nghttp2_session_callbacks_new(&callbacks) != 0)
            return nullptr;
        if (nghttp2_option_new(&option) != 0) {
            nghttp2_session_callbacks_del(callbacks);
            return nullptr;
        }
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onDataChunk);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
        // Closed streams are kept for priorities, which are not used here.
        nghttp2_option_set_no_closed_streams(option, 1);
        const int result = connection.m_role == ConnectionRole::Server
            ? nghttp2_session_server_new2(&session, callbacks, &connection, option)
            : nghttp2_session_client_new2(&session, callbacks, &connection, option);
        nghttp2_option_del(option);
        nghttp2_session_callbacks_del(callbacks);
        return result == 0 ? session : nullptr;
    }
};

Connection::Connection(
    Tcp::socket socket, ConnectionRole role, std::shared_ptr<ConnectionShared> shared, Handler handler)
    : m_socket(std::move(socket))
    , m_role(role)
    , m_shared(std::move(shared))
    , m_handler(std::move(handler))
    , m_timer(m_socket.get_executor())
    , m_session(Callbacks::makeSession(*this))
    , m_lastReceived(std::chrono::steady_clock::now())
{
    boost::system::error_code ignored;
    m_peer = m_socket.remote_endpoint(ignored);
    m_socket.set_option(Tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

Connection::~Connection()
{
    nghttp2_session_del(m_session);
    for (const auto& [id, stream] : m_streams)
        m_shared->budget.release(stream.reservedBytes);
}

void Connection::start()
{
    ++m_shared->counters.connections;
    const bool isServer = m_role == ConnectionRole::Server;
    const std::array<nghttp2_settings_entry, 3> settings { {
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, isServer ? m_shared->limits.maxStreams : 0 },
        { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    } };
    // A server must not send ENABLE_PUSH with another value than 0, and older peers reject it altogether.
    if (!m_session
        || nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), isServer ? 2 : settings.size()) != 0
        || nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes) != 0)
        return fail(absl::ResourceExhaustedError("no memory for an HTTP/2 session"));
    scheduleTimeoutCheck();
    waitForData();
    flush();
}

void Connection::closeWithoutEvents()
{
    m_shouldDiscardEvents = true;
    m_events.clear();
    closeSocket();
}

int32_t Connection::sendRequest(const std::string& path, std::string& body)
{
    static const std::string post = "POST";
    static const std::string scheme = "http";
    if (m_isClosed)
        return -1;
    const std::string authority = m_peer.address().to_string() + ":" + std::to_string(m_peer.port());
    const std::array<nghttp2_nv, 4> headers { makeHeader(":method", post), makeHeader(":scheme", scheme),
        makeHeader(":authority", authority), makeHeader(":path", path) };
    const nghttp2_data_provider provider { { 0 }, Callbacks::readBody };
    const int32_t id = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0) {
        boost::asio::post(m_socket.get_executor(),
            [self = shared_from_this()] { self->fail(absl::UnavailableError("the session takes no more requests")); });
        return id;
    }
    ++m_shared->counters.requests;
    Stream& stream = m_streams[id];
    stream.incoming.stream = id;
    stream.outgoing = std::move(body);
    scheduleFlush();
    return id;
}

void Connection::sendReply(int32_t id, int status, std::string body)
{
    const auto found = m_streams.find(id);
    if (m_isClosed || found == m_streams.end() || found->second.isSending)
        return;
    Stream& stream = found->second;
    if (!m_shared->budget.tryReserve(body.size())) {
        ++m_shared->counters.refused;
        status = 429;
        body.clear();
    }
    stream.reservedBytes += body.size();
    stream.isSending = true;
    stream.transferStart = std::chrono::steady_clock::now();
    stream.outgoing = std::move(body);
    const std::string statusText = std::to_string(status);
    const nghttp2_nv headers = makeHeader(":status", statusText);
    const nghttp2_data_provider provider { { 0 }, Callbacks::readBody };
    if (nghttp2_submit_response(m_session, id, &headers, 1, &provider) != 0)
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_INTERNAL_ERROR);
    scheduleFlush();
}

void Connection::cancel(int32_t stream)
{
    if (m_isClosed || m_streams.count(stream) == 0)
        return;
    releaseStream(stream);
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    scheduleFlush();
}

void Connection::waitForData()
{
    if (m_isClosed || nghttp2_session_want_read(m_session) == 0)
        return;
    // Waiting needs no buffer, so an idle connection holds none.
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        if (self->m_isClosed)
            return;
        if (error)
            return self->fail(absl::UnavailableError("waiting failed: " + error.message()));
        self->receive();
    });
}

void Connection::receive()
{
    std::array<uint8_t, readChunkBytes> buffer;
    boost::system::error_code error;
    const size_t size = m_socket.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block || error == boost::asio::error::interrupted)
        return waitForData();
    if (error)
        return fail(absl::UnavailableError("the peer closed the connection: " + error.message()));
    m_shared->counters.bytesReceived += size;
    m_lastReceived = std::chrono::steady_clock::now();
    const ssize_t used = nghttp2_session_mem_recv(m_session, buffer.data(), size);
    if (used < 0) {
        m_peerError = nghttp2_strerror(static_cast<int>(used));
        return fail(absl::InvalidArgumentError(m_peerError));
    }
    dispatch();
    if (m_isClosed)
        return;
    if (m_hasReceivedGoaway)
        return fail(absl::UnavailableError("the peer ended the session"));
    flush();
    waitForData();
}

void Connection::flush()
{
    if (m_isWriting || m_isClosed)
        return;
    while (m_writeBuffer.size() < writeChunkBytes) {
        const uint8_t* data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session, &data);
        if (size < 0)
            return fail(absl::InternalError(nghttp2_strerror(static_cast<int>(size))));
        if (size == 0)
            break;
        m_writeBuffer.append(reinterpret_cast<const char*>(data), static_cast<size_t>(size));
    }
    if (m_writeBuffer.empty()) {
        if (nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0)
            fail(m_peerError.empty() ? absl::UnavailableError("the session has ended")
                                     : absl::InvalidArgumentError(m_peerError));
        return dispatch();
    }
    m_isWriting = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writeBuffer),
        [self = shared_from_this()](boost::system::error_code error, size_t size) {
            self->m_shared->counters.bytesSent += size;
            self->m_isWriting = false;
            self->m_writeBuffer.clear();
            if (self->m_writeBuffer.capacity() > maxIdleBufferBytes)
                self->m_writeBuffer = std::string();
            if (error)
                return self->fail(absl::UnavailableError("sending failed: " + error.message()));
            self->flush();
        });
    dispatch();
}

// Collects all that is submitted in one turn of the io_context into one write.
void Connection::scheduleFlush()
{
    if (m_isFlushPosted || m_isWriting)
        return;
    m_isFlushPosted = true;
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_isFlushPosted = false;
        self->flush();
    });
}

void Connection::scheduleTimeoutCheck()
{
    m_timer.expires_after(m_shared->limits.pingInterval);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code) {
        if (!self->m_isClosed)
            self->checkTimeouts();
    });
}

void Connection::checkTimeouts()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_lastReceived >= m_shared->limits.receiveTimeout && !hasUnreadData()) {
        ++m_shared->counters.receiveTimeouts;
        return fail(absl::UnavailableError("the peer is silent"));
    }
    if (hasStalledBody(now)) {
        m_peerError = "a body took too long";
        return fail(absl::InvalidArgumentError(m_peerError));
    }
    if (now - m_lastReceived >= m_shared->limits.pingInterval) {
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
        flush();
    }
    if (!m_isClosed)
        scheduleTimeoutCheck();
}

// After this process was suspended, the timer may fire before data that has already arrived is read.
bool Connection::hasUnreadData() const
{
    boost::system::error_code error;
    return nghttp2_session_want_read(m_session) != 0 && m_socket.available(error) > 0 && !error;
}

// O(open streams) once in each interval; their number is bounded by maxStreams. A client bounds each request itself.
bool Connection::hasStalledBody(std::chrono::steady_clock::time_point now) const
{
    return m_role == ConnectionRole::Server && std::any_of(m_streams.begin(), m_streams.end(), [&](const auto& entry) {
        const Stream& stream = entry.second;
        return (!stream.isComplete || stream.isSending) && now - stream.transferStart >= m_shared->limits.bodyTimeout;
    });
}

void Connection::fail(absl::Status status)
{
    if (m_isClosed)
        return;
    if (!m_peerError.empty())
        ++m_shared->counters.peerErrors;
    closeSocket();
    m_events.emplace_back(ConnectionClosed { std::move(status) });
    dispatch();
}

void Connection::closeSocket()
{
    m_isClosed = true;
    boost::system::error_code ignored;
    m_timer.cancel(ignored);
    m_socket.close(ignored);
}

// A handler may add events (by sending) and may abandon the connection.
void Connection::dispatch()
{
    if (m_isDispatching)
        return;
    m_isDispatching = true;
    const auto self = shared_from_this();
    while (!m_events.empty()) {
        std::vector<ConnectionEvent> events;
        events.swap(m_events);
        for (ConnectionEvent& event : events) {
            if (!m_shouldDiscardEvents)
                m_handler(self, std::move(event));
        }
    }
    m_isDispatching = false;
}

void Connection::releaseStream(int32_t id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    m_shared->budget.release(found->second.reservedBytes);
    m_streams.erase(found);
}

} // namespace cicadaward::detail
