// The commands of cicadawardctl. Results go to `out`, reasons of a failure to `err`; with --json, every answer of an
// instance goes to `out` as it came, refusals included.
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
    // Both return false, with the reason printed, unless the status is 200.
    bool read(const std::string& target, std::string& body);
    // From the leader, because a follower may be behind and an instance with a new disk knows nothing; without a
    // leader, from the instance with the highest epoch, with a warning.
    bool readFromLeader(const std::string& target, std::string& body);
    CtlExit printFailure(const AdminResponse& response);

    const CtlOptions& m_options;
    std::ostream& m_out;
    std::ostream& m_err;
    AdminClient m_client;
};

} // namespace cicadaward
