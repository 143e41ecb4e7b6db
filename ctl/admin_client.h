// Calls of the administration API. The instances are tried in turn until one decides or the time is over: no answer,
// 503 (no leader, busy) and 504 (not decided in time) go to the next one. Sending a call again is safe: the register
// answers a change that was accepted before with its first answer.
//
//     AdminClient client(options.instances, options.token, options.who, std::chrono::seconds(30));
//     AdminResponse response = client.call(AdminVerb::Post, "/v1/manifest", text);
//     if (response.status == 0)
//         std::cerr << response.body << "\n"; // nobody answered
#pragma once

#include "core/clock.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace cicadaward {

enum class AdminVerb { Get, Post };

struct AdminResponse {
    std::string instance; // ip:port
    unsigned status = 0; // 0: no answer
    std::string body; // what happened when there is no answer
};

class AdminClient {
public:
    // `timeout` bounds all calls together.
    AdminClient(const std::vector<Endpoint>& instances, std::string token, std::string who, Duration timeout);

    AdminResponse call(AdminVerb verb, const std::string& target, const std::string& body = "");
    // One try at each instance, all at the same time.
    std::vector<AdminResponse> callAll(const std::string& target);

    // Makes the instance with this name the first that is tried.
    void prefer(const std::string& instance);

    // Runs the event loop for `duration`, at most until the time is over. Returns false when it is.
    bool pause(Duration duration);

private:
    struct Instance {
        std::string name;
        std::unique_ptr<HttpClient> client;
    };

    HttpClientRequest request(AdminVerb verb, const std::string& target, const std::string& body) const;
    void send(Instance& instance, HttpClientRequest request, Duration callTimeout, AdminResponse& response,
        size_t& openCalls);
    void runUntilDone(const size_t& openCalls);
    Duration remaining() const;

    SystemClock m_clock;
    boost::asio::io_context m_context;
    std::vector<Instance> m_instances;
    std::string m_token;
    std::string m_who;
    Time m_deadline;
    uint64_t m_lastCall = 0;
};

// For a name in a path.
std::string percentEncode(const std::string& text);

} // namespace cicadaward
