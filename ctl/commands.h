// The commands of cicadawardctl. Results go to `out`, the reasons of a failure to `err`. With --json, the response of
// an instance goes to `out`, also when the instance refuses the call.
#pragma once

#include "admin_client.h"
#include "ctl_options.h"

#include <iosfwd>

namespace cicadaward {

class Commands {
public:
    Commands(const CtlOptions& options, std::ostream& out, std::ostream& err);

    CtlExit run();

private:
    CtlExit apply();
    CtlExit diff();
    CtlExit show();
    CtlExit status();
    CtlExit members();
    CtlExit dataCentre();
    CtlExit history();
    CtlExit events();
    CtlExit metrics();

    bool readManifest(std::string& text, Manifest& manifest);
    CtlExit change(const std::string& target, const std::string& body);
    CtlExit finishChange(const std::string& body);
    // Calls any instance. Returns false, and prints the reason, unless the status is 200.
    bool read(const std::string& target, std::string& body);
    // Like read(), but calls the leader first, because a follower may be behind and an instance with a new disk has no
    // data. Without a leader it prints a warning and calls the instance with the highest epoch first.
    bool readFromLeader(const std::string& target, std::string& body);
    CtlExit printFailure(const AdminResponse& response);

    const CtlOptions& m_options;
    std::ostream& m_out;
    std::ostream& m_err;
    AdminClient m_client;
};

} // namespace cicadaward
