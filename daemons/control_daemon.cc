#include "control_daemon.h"

#include "control_admin.h"

#include <csignal>
#include <fstream>
#include <openssl/crypto.h>
#include <sys/stat.h>

namespace cicadaward {

namespace detail {

    constexpr size_t adminRingSize = 1024;
    constexpr size_t maxAdminCalls = 256;

    // The token is the first line of a file that only its owner may read.
    absl::Status readToken(const std::string& path, std::string& token)
    {
        struct stat info { };
        if (stat(path.c_str(), &info) != 0)
            return absl::NotFoundError("cannot read the token file " + path);
        if ((info.st_mode & (S_IRWXO | S_IWGRP)) != 0)
            return absl::PermissionDeniedError(
                "the token file " + path + " is accessible to other users; use mode 0600");
        std::ifstream file(path);
        if (!std::getline(file, token) || token.size() < 16)
            return absl::InvalidArgumentError("the token in " + path + " has fewer than 16 bytes");
        return absl::OkStatus();
    }

} // namespace detail

ControlDaemon::ControlDaemon(DaemonBase& base, const Settings& settings)
    : m_base(base)
    , m_adminLoop("admin")
    , m_adminAnswers(
          detail::adminRingSize, m_adminLoop.context(), [this](AdminAnswer&& answer) { answerAdmin(answer); })
{
    m_network = std::make_unique<ControlNetworkThread>(
        base, settings, [this](ConsensusInput&& input) { return m_consensus->pushFromNetwork(std::move(input)); });
    m_consensus = std::make_unique<ControlConsensusThread>(
        base, settings, [this](NetworkInput&& input) { return m_network->push(std::move(input)); },
        [this](AdminAnswer&& answer) { return m_adminAnswers.push(std::move(answer)); }, [] { raise(SIGTERM); });
    if (!settings.isSet("admin.listen"))
        return;
    if (!settings.isSet("admin.token-file")) {
        m_status = absl::InvalidArgumentError("admin.listen is set, so admin.token-file must be set too");
        return;
    }
    enableRecentEvents();
    m_status = detail::readToken(settings.path("admin.token-file"), m_token);
    m_adminServer = std::make_unique<HttpServer>(m_adminLoop.context(), toEndpoint(settings.endpoint("admin.listen")),
        [this](const HttpRequest& request, const HttpReplyCallback& reply) { handleAdmin(request, reply); });
}

ControlDaemon::~ControlDaemon() { stop(); }

absl::Status ControlDaemon::start()
{
    if (!m_status.ok())
        return m_status;
    if (m_adminServer && !m_adminServer->status().ok())
        return m_adminServer->status();
    absl::Status status = m_consensus->open();
    if (!status.ok())
        return status;
    m_consensus->start();
    m_adminLoop.start();
    return m_network->start();
}

void ControlDaemon::stop()
{
    m_consensus->stop();
    m_network->stop();
    m_adminLoop.stop();
}

bool ControlDaemon::isAuthorized(const HttpRequest& request) const
{
    std::string expected = "Bearer " + m_token;
    auto field = request.find(boost::beast::http::field::authorization);
    return field != request.end() && field->value().size() == expected.size()
        && CRYPTO_memcmp(field->value().data(), expected.data(), expected.size()) == 0;
}

void ControlDaemon::handleAdmin(const HttpRequest& request, const HttpReplyCallback& reply)
{
    if (!isAuthorized(request)) {
        m_base.log->write(EventId::AdminRefused, { { "reason", "wrong or missing token" } });
        reply(401, "application/json", R"({"error":"wrong or missing bearer token"})");
        return;
    }
    AdminCall call;
    call.method = std::string(request.method_string());
    call.path = std::string(request.target());
    unsigned status = checkAdminRequest(call.method, call.path);
    if (status != 200) {
        const char* reason = status == 404 ? "no such path"
            : status == 405                ? "this path does not take this method"
                            : "the request target does not start with '/' or holds a malformed percent code";
        reply(status, "application/json", formatError(reason));
        return;
    }
    if (request.body().size() > maxManifestSize) {
        reply(413, "application/json",
            formatError("the body is larger than " + std::to_string(maxManifestSize) + " bytes"));
        return;
    }
    AdminTarget target;
    parseAdminTarget(call.path, target);
    if (target.path.back() == "metrics") {
        reply(200, "application/json", m_base.metrics.json());
        return;
    }
    if (target.path.back() == "events") {
        uint64_t limit = 0;
        if (parseQueryNumber(target, "limit", 512, 50, limit))
            reply(200, "application/json", recentEvents(limit));
        else
            reply(400, "application/json", formatError("\"limit\" must be from 1 to 512"));
        return;
    }
    if (m_adminCalls.size() >= detail::maxAdminCalls) {
        reply(503, "application/json", R"({"error":"too many open calls"})");
        return;
    }
    call.call = ++m_lastCall;
    call.body = request.body();
    auto who = request.find("Operator");
    call.who = who == request.end() ? "" : std::string(who->value().substr(0, 128));
    uint64_t id = call.call;
    m_adminCalls[id] = reply;
    if (!m_consensus->pushFromAdmin(std::move(call))) {
        m_adminCalls.erase(id);
        reply(503, "application/json", R"({"error":"too many waiting calls"})");
    }
}

void ControlDaemon::answerAdmin(const AdminAnswer& answer)
{
    auto found = m_adminCalls.find(answer.call);
    if (found == m_adminCalls.end())
        return;
    HttpReplyCallback reply = std::move(found->second);
    m_adminCalls.erase(found);
    reply(answer.status, "application/json", answer.body);
}

} // namespace cicadaward
