// Drives lwIP's raw TCP interface under its core lock. lwIP's callbacks run with the lock held, on its own thread
// (timers) or on the thread that called input() or send(). All other calls take the lock, so the connection map needs
// none.

#include "net/tcp_endpoint.h"

#include <absl/container/flat_hash_map.h>
#include <cstring>
// The packaged options header declares its lock functions without C linkage.
extern "C" {
#include <lwipopts.h>
}
#include <lwip/ip.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/tcp.h>
#include <lwip/tcpip.h>
#include <mutex>

namespace cicadaward {

namespace detail {

    class LwipCoreLock {
    public:
        LwipCoreLock() { LOCK_TCPIP_CORE(); }
        ~LwipCoreLock() { UNLOCK_TCPIP_CORE(); }
        LwipCoreLock(const LwipCoreLock&) = delete;
        LwipCoreLock& operator=(const LwipCoreLock&) = delete;
    };

    ip4_addr_t toLwipAddress(uint32_t address)
    {
        ip4_addr_t result;
        ip4_addr_set_u32(&result, lwip_htonl(address));
        return result;
    }

    void initializeLwipOnce()
    {
        static std::once_flag once;
        std::call_once(once, [] { tcpip_init(nullptr, nullptr); });
    }

} // namespace detail

class TcpEndpoint::Implementation {
public:
    Implementation(const std::vector<uint32_t>& addresses, PacketOutput output, EventHandler events)
        : m_output(std::move(output))
        , m_events(std::move(events))
    {
        detail::initializeLwipOnce();
        detail::LwipCoreLock lock;
        for (uint32_t address : addresses)
            addInterface(address);
    }

    ~Implementation()
    {
        detail::LwipCoreLock lock;
        for (tcp_pcb* listener : m_listeners)
            tcp_close(listener);
        while (!m_connections.empty())
            abortConnection(*m_connections.begin()->second);
        for (auto& interface : m_interfaces)
            netif_remove(interface.get());
    }

    absl::Status listen(uint16_t port)
    {
        detail::LwipCoreLock lock;
        tcp_pcb* pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
        if (!pcb)
            return absl::ResourceExhaustedError("no memory for a TCP listener");
        if (tcp_bind(pcb, IP4_ADDR_ANY, port) != ERR_OK) {
            tcp_abort(pcb);
            return absl::AlreadyExistsError("TCP port " + std::to_string(port) + " is in use");
        }
        tcp_pcb* listener = tcp_listen(pcb);
        if (!listener) {
            tcp_abort(pcb);
            return absl::ResourceExhaustedError("no memory for a TCP listener");
        }
        tcp_arg(listener, this);
        tcp_accept(listener, &Implementation::onAccept);
        m_listeners.push_back(listener);
        return absl::OkStatus();
    }

    absl::StatusOr<ConnectionId> connect(uint32_t localAddress, Endpoint to)
    {
        detail::LwipCoreLock lock;
        tcp_pcb* pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
        if (!pcb)
            return absl::ResourceExhaustedError("no memory for a TCP connection");
        ip_addr_t local;
        ip_addr_copy_from_ip4(local, detail::toLwipAddress(localAddress));
        if (tcp_bind(pcb, &local, 0) != ERR_OK) {
            tcp_abort(pcb);
            return absl::ResourceExhaustedError("no free local TCP port");
        }
        Connection& connection = registerConnection(pcb);
        ip_addr_t remote;
        ip_addr_copy_from_ip4(remote, detail::toLwipAddress(to.address));
        if (tcp_connect(pcb, &remote, to.port, &Implementation::onConnected) != ERR_OK) {
            abortConnection(connection);
            return absl::UnavailableError("no route for a TCP connection");
        }
        return connection.id;
    }

    void input(const uint8_t* packet, size_t size)
    {
        pbuf* buffer = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(size), PBUF_RAM);
        if (!buffer)
            return;
        pbuf_take(buffer, packet, static_cast<u16_t>(size));
        detail::LwipCoreLock lock;
        netif* interface = m_interfaces.front().get();
        if (interface->input(buffer, interface) != ERR_OK)
            pbuf_free(buffer);
    }

    bool send(ConnectionId id, const std::string& bytes)
    {
        detail::LwipCoreLock lock;
        Connection* connection = find(id);
        if (!connection || connection->unsent.size() + bytes.size() > maxUnsentBytes)
            return false;
        connection->unsent += bytes;
        flush(*connection);
        return true;
    }

    void close(ConnectionId id)
    {
        detail::LwipCoreLock lock;
        if (Connection* connection = find(id)) {
            connection->isClosing = true;
            flush(*connection);
        }
    }

    void abort(ConnectionId id)
    {
        detail::LwipCoreLock lock;
        if (Connection* connection = find(id))
            abortConnection(*connection);
    }

    size_t connectionCount() const
    {
        detail::LwipCoreLock lock;
        return m_connections.size();
    }

private:
    struct Connection {
        Implementation* owner = nullptr;
        ConnectionId id;
        tcp_pcb* pcb = nullptr;
        std::string unsent; // not yet taken by the stack
        bool isClosing = false;
    };

    void addInterface(uint32_t address)
    {
        m_interfaces.push_back(std::make_unique<netif>());
        netif* interface = m_interfaces.back().get();
        std::memset(interface, 0, sizeof(*interface));
        ip4_addr_t own = detail::toLwipAddress(address);
        ip4_addr_t mask = detail::toLwipAddress(0xffffffff);
        ip4_addr_t gateway = detail::toLwipAddress(0);
        netif_add(interface, &own, &mask, &gateway, this, &Implementation::initializeInterface, ip_input);
        netif_set_up(interface);
        netif_set_link_up(interface);
        if (m_interfaces.size() == 1)
            netif_set_default(interface);
    }

    static err_t initializeInterface(netif* interface)
    {
        interface->name[0] = 'c';
        interface->name[1] = 'w';
        interface->mtu = 1500;
        interface->output = &Implementation::onOutput;
        return ERR_OK;
    }

    static err_t onOutput(netif* interface, pbuf* packet, const ip4_addr_t*)
    {
        uint8_t bytes[1600];
        if (packet->tot_len > sizeof(bytes))
            return ERR_BUF;
        pbuf_copy_partial(packet, bytes, packet->tot_len, 0);
        static_cast<Implementation*>(interface->state)->m_output(bytes, packet->tot_len);
        return ERR_OK;
    }

    Connection& registerConnection(tcp_pcb* pcb)
    {
        auto connection = std::make_unique<Connection>();
        connection->owner = this;
        connection->id = ConnectionId(++m_lastId);
        connection->pcb = pcb;
        Connection& result = *connection;
        m_connections.emplace(result.id, std::move(connection));
        tcp_arg(pcb, &result);
        tcp_recv(pcb, &Implementation::onReceived);
        tcp_sent(pcb, &Implementation::onSent);
        tcp_err(pcb, &Implementation::onError);
        tcp_nagle_disable(pcb);
        return result;
    }

    Connection* find(ConnectionId id)
    {
        auto found = m_connections.find(id);
        return found == m_connections.end() ? nullptr : found->second.get();
    }

    void emit(ConnectionId id, TcpEventKind kind, bool reset = false)
    {
        TcpEvent event;
        event.connection = id;
        event.kind = kind;
        event.reset = reset;
        m_events(std::move(event));
    }

    void emitOpened(const Connection& connection)
    {
        TcpEvent event;
        event.connection = connection.id;
        event.kind = TcpEventKind::Opened;
        event.peer
            = { lwip_ntohl(ip4_addr_get_u32(ip_2_ip4(&connection.pcb->remote_ip))), connection.pcb->remote_port };
        event.localPort = connection.pcb->local_port;
        m_events(std::move(event));
    }

    static err_t onAccept(void* argument, tcp_pcb* pcb, err_t error)
    {
        if (error != ERR_OK || !pcb)
            return ERR_VAL;
        auto* self = static_cast<Implementation*>(argument);
        self->emitOpened(self->registerConnection(pcb));
        return ERR_OK;
    }

    static err_t onConnected(void* argument, tcp_pcb*, err_t)
    {
        auto* connection = static_cast<Connection*>(argument);
        connection->owner->emitOpened(*connection);
        return ERR_OK;
    }

    static err_t onReceived(void* argument, tcp_pcb* pcb, pbuf* buffer, err_t)
    {
        auto* connection = static_cast<Connection*>(argument);
        if (!buffer) {
            connection->owner->emit(connection->id, TcpEventKind::PeerClosed);
            return ERR_OK;
        }
        TcpEvent event;
        event.connection = connection->id;
        event.kind = TcpEventKind::Data;
        event.data.resize(buffer->tot_len);
        pbuf_copy_partial(buffer, event.data.data(), buffer->tot_len, 0);
        tcp_recved(pcb, buffer->tot_len);
        pbuf_free(buffer);
        connection->owner->m_events(std::move(event));
        return ERR_OK;
    }

    static err_t onSent(void* argument, tcp_pcb*, u16_t)
    {
        auto* connection = static_cast<Connection*>(argument);
        return connection->owner->flush(*connection) ? ERR_OK : ERR_ABRT;
    }

    // lwIP has already freed the control block.
    static void onError(void* argument, err_t)
    {
        auto* connection = static_cast<Connection*>(argument);
        Implementation* self = connection->owner;
        ConnectionId id = connection->id;
        self->m_connections.erase(id);
        self->emit(id, TcpEventKind::Closed, true);
    }

    // Hands waiting bytes to the stack and closes when none are left. Returns false when the connection was aborted.
    bool flush(Connection& connection)
    {
        size_t room = tcp_sndbuf(connection.pcb);
        size_t size = std::min({ room, connection.unsent.size(), size_t { 0xffff } });
        if (size > 0) {
            if (tcp_write(connection.pcb, connection.unsent.data(), static_cast<u16_t>(size), TCP_WRITE_FLAG_COPY)
                == ERR_OK)
                connection.unsent.erase(0, size);
        }
        tcp_output(connection.pcb);
        if (!connection.isClosing || !connection.unsent.empty())
            return true;
        ConnectionId id = connection.id;
        tcp_pcb* pcb = connection.pcb;
        clearCallbacks(pcb);
        bool aborted = tcp_close(pcb) != ERR_OK;
        if (aborted)
            tcp_abort(pcb);
        m_connections.erase(id);
        emit(id, TcpEventKind::Closed);
        return !aborted;
    }

    static void clearCallbacks(tcp_pcb* pcb)
    {
        tcp_arg(pcb, nullptr);
        tcp_recv(pcb, nullptr);
        tcp_sent(pcb, nullptr);
        tcp_err(pcb, nullptr);
    }

    void abortConnection(Connection& connection)
    {
        ConnectionId id = connection.id;
        tcp_pcb* pcb = connection.pcb;
        clearCallbacks(pcb);
        tcp_abort(pcb);
        m_connections.erase(id);
        emit(id, TcpEventKind::Closed, true);
    }

    PacketOutput m_output;
    EventHandler m_events;
    std::vector<std::unique_ptr<netif>> m_interfaces;
    std::vector<tcp_pcb*> m_listeners;
    absl::flat_hash_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
    uint64_t m_lastId = 0;
};

TcpEndpoint::TcpEndpoint(const std::vector<uint32_t>& addresses, PacketOutput output, EventHandler events)
    : m_implementation(std::make_unique<Implementation>(addresses, std::move(output), std::move(events)))
{
}

TcpEndpoint::~TcpEndpoint() = default;

absl::Status TcpEndpoint::listen(uint16_t port) { return m_implementation->listen(port); }

absl::StatusOr<ConnectionId> TcpEndpoint::connect(uint32_t localAddress, Endpoint to)
{
    return m_implementation->connect(localAddress, to);
}

void TcpEndpoint::input(const uint8_t* packet, size_t size) { m_implementation->input(packet, size); }

bool TcpEndpoint::send(ConnectionId id, const std::string& bytes) { return m_implementation->send(id, bytes); }

void TcpEndpoint::close(ConnectionId id) { m_implementation->close(id); }

void TcpEndpoint::abort(ConnectionId id) { m_implementation->abort(id); }

size_t TcpEndpoint::connectionCount() const { return m_implementation->connectionCount(); }

} // namespace cicadaward
