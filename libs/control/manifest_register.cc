#include "control/manifest_register.h"

#include <algorithm>
#include <openssl/evp.h>

namespace cicadaward::control {

namespace detail {

    constexpr size_t maxFindings = 64;
    constexpr size_t maxSenderNameSize = 128;
    constexpr uint32_t registerFormat = 1;

    // Form of a snapshot. `format` comes first so that a later form can be told apart.
    struct RegisterSnapshot {
        uint32_t format = registerFormat;
        uint64_t appliedIndex = 0;
        Epoch epoch;
        std::string manifest; // canonical text; empty before the first
        std::vector<Service> services;
        std::vector<DataCentre> dataCentres;
        uint32_t lastServiceId = 0;
        uint16_t lastDataCentreId = 0;
        std::vector<ManifestRegister::HistoryEntry> history;

        MSGPACK_DEFINE_ARRAY(
            format, appliedIndex, epoch, manifest, services, dataCentres, lastServiceId, lastDataCentreId, history)
    };

    // State of a data centre in a manifest; null when it is not named.
    DataCentreSpec* findDataCentre(Manifest& manifest, const std::string& name)
    {
        auto found = std::find_if(manifest.dataCentres.begin(), manifest.dataCentres.end(),
            [&](const DataCentreSpec& dataCentre) { return dataCentre.name == name; });
        return found == manifest.dataCentres.end() ? nullptr : &*found;
    }

} // namespace detail

std::string manifestDigest(const Manifest& manifest)
{
    std::string text = formatManifest(manifest);
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    if (EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr) != 1)
        size = 0;
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += "0123456789abcdef"[digest[i] >> 4];
        hex += "0123456789abcdef"[digest[i] & 15];
    }
    return hex;
}

ManifestResult ManifestRegister::apply(uint64_t index, const std::string& bytes)
{
    if (index <= m_state.appliedIndex)
        return makeResult(ManifestOutcome::AlreadyApplied);
    m_state.appliedIndex = index;
    ManifestCommand command;
    if (!decodeMessage(bytes, command))
        return makeInvalidResult("the command is damaged");
    if (command.who.size() > detail::maxSenderNameSize)
        return makeInvalidResult(
            "the sender's name is longer than " + std::to_string(detail::maxSenderNameSize) + " bytes");
    return command.dataCentre.empty() ? applyManifest(command) : applyDataCentre(command);
}

ManifestResult ManifestRegister::applyManifest(const ManifestCommand& command)
{
    Findings findings;
    std::optional<Manifest> manifest = parseManifest("manifest", command.manifest, findings);
    if (!manifest) {
        ManifestResult answer = makeResult(ManifestOutcome::Invalid);
        for (const Finding& finding : findings.all()) {
            if (answer.findings.size() == detail::maxFindings)
                break;
            answer.findings.push_back(
                finding.place.key.empty() ? finding.message : finding.place.key + ": " + finding.message);
        }
        return answer;
    }
    if (manifest->version <= version()) {
        const HistoryEntry* entry = findVersion(manifest->version);
        return answerFromHistory(manifest->version, entry, entry && entry->digest == manifestDigest(*manifest));
    }
    if (manifest->replaces != version())
        return makeResult(ManifestOutcome::WrongBase);
    return accept(std::move(*manifest), command.who, "");
}

ManifestResult ManifestRegister::applyDataCentre(const ManifestCommand& command)
{
    std::string change = (command.out ? "out " : "in ") + command.dataCentre;
    if (command.replaces != 0 && command.replaces < version()) {
        const HistoryEntry* entry = findVersion(command.replaces + 1);
        return answerFromHistory(command.replaces + 1, entry, entry && entry->change == change);
    }
    if (command.replaces > version())
        return makeResult(ManifestOutcome::WrongBase);
    Manifest next = m_state.manifest;
    DataCentreSpec* dataCentre = detail::findDataCentre(next, command.dataCentre);
    if (!dataCentre)
        return makeInvalidResult(
            "no data centre \"" + command.dataCentre + "\" in version " + std::to_string(version()));
    if (command.replaces == 0 && dataCentre->out == command.out) {
        const HistoryEntry* entry = findVersion(version());
        return answerFromHistory(version(), entry, entry != nullptr);
    }
    dataCentre->out = command.out;
    next.replaces = version();
    next.version = version() + 1;
    return accept(std::move(next), command.who, change);
}

ManifestResult ManifestRegister::accept(Manifest manifest, const std::string& who, const std::string& change)
{
    State next = m_state;
    if (!assignIds(manifest, next))
        return makeInvalidResult("no data centre or service id is left");
    next.epoch = Epoch(m_state.epoch.value() + 1);
    next.history.push_back({ manifest.version, manifestDigest(manifest), next.epoch, who, change });
    if (next.history.size() > maxHistory)
        next.history.pop_front();
    next.manifest = std::move(manifest);
    m_state = std::move(next);
    return answerFromHistory(version(), &m_state.history.back(), true);
}

ManifestResult ManifestRegister::answerFromHistory(uint64_t wanted, const HistoryEntry* entry, bool same) const
{
    if (!entry) {
        ManifestResult answer = makeResult(ManifestOutcome::Older);
        answer.version = wanted;
        return answer;
    }
    ManifestResult answer = makeResult(same ? ManifestOutcome::Accepted : ManifestOutcome::Conflict);
    answer.version = entry->version;
    answer.epoch = entry->epoch;
    answer.digest = entry->digest;
    answer.who = entry->who;
    return answer;
}

ManifestResult ManifestRegister::makeResult(ManifestOutcome outcome) const
{
    ManifestResult answer;
    answer.outcome = outcome;
    answer.currentVersion = version();
    return answer;
}

ManifestResult ManifestRegister::makeInvalidResult(const std::string& finding) const
{
    ManifestResult answer = makeResult(ManifestOutcome::Invalid);
    answer.findings.push_back(finding);
    return answer;
}

bool ManifestRegister::assignIds(const Manifest& manifest, State& next) const
{
    next.services.clear();
    for (const ServiceSpec& spec : manifest.services) {
        auto known = std::find_if(m_state.services.begin(), m_state.services.end(), [&](const Service& service) {
            return service.spec.name == spec.name && service.spec.address == spec.address
                && service.spec.buckets == spec.buckets;
        });
        if (known == m_state.services.end() && next.lastServiceId == UINT32_MAX)
            return false;
        ServiceId id = known != m_state.services.end() ? known->id : ServiceId(++next.lastServiceId);
        next.services.push_back({ id, spec });
    }
    next.dataCentres.clear();
    for (const DataCentreSpec& spec : manifest.dataCentres) {
        auto known = std::find_if(m_state.dataCentres.begin(), m_state.dataCentres.end(),
            [&](const DataCentre& dataCentre) { return dataCentre.name == spec.name; });
        if (known == m_state.dataCentres.end() && next.lastDataCentreId == UINT16_MAX)
            return false;
        DataCentreId id = known != m_state.dataCentres.end() ? known->id : DataCentreId(++next.lastDataCentreId);
        next.dataCentres.push_back({ id, spec.name, spec.out });
    }
    std::sort(next.services.begin(), next.services.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    std::sort(
        next.dataCentres.begin(), next.dataCentres.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return true;
}

const ManifestRegister::HistoryEntry* ManifestRegister::findVersion(uint64_t wanted) const
{
    auto found = std::lower_bound(m_state.history.begin(), m_state.history.end(), wanted,
        [](const HistoryEntry& entry, uint64_t key) { return entry.version < key; });
    return found != m_state.history.end() && found->version == wanted ? &*found : nullptr;
}

std::string ManifestRegister::snapshot() const
{
    detail::RegisterSnapshot snapshot;
    snapshot.appliedIndex = m_state.appliedIndex;
    snapshot.epoch = m_state.epoch;
    if (version() != 0)
        snapshot.manifest = formatManifest(m_state.manifest);
    snapshot.services = m_state.services;
    snapshot.dataCentres = m_state.dataCentres;
    snapshot.lastServiceId = m_state.lastServiceId;
    snapshot.lastDataCentreId = m_state.lastDataCentreId;
    snapshot.history.assign(m_state.history.begin(), m_state.history.end());
    return encodeMessage(snapshot);
}

bool ManifestRegister::restore(const std::string& bytes)
{
    detail::RegisterSnapshot snapshot;
    if (!decodeMessage(bytes, snapshot) || snapshot.format != detail::registerFormat
        || snapshot.history.size() > maxHistory)
        return false;
    State state;
    if (!snapshot.manifest.empty()) {
        Findings findings;
        std::optional<Manifest> manifest = parseManifest("snapshot", snapshot.manifest, findings);
        if (!manifest)
            return false;
        state.manifest = std::move(*manifest);
    }
    state.appliedIndex = snapshot.appliedIndex;
    state.epoch = snapshot.epoch;
    state.services = std::move(snapshot.services);
    state.dataCentres = std::move(snapshot.dataCentres);
    state.lastServiceId = snapshot.lastServiceId;
    state.lastDataCentreId = snapshot.lastDataCentreId;
    state.history.assign(snapshot.history.begin(), snapshot.history.end());
    m_state = std::move(state);
    return true;
}

} // namespace cicadaward::control
