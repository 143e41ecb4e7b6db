// The file of the flow records of a control instance, on a thread of its own: a slow or stalled disk delays only this
// file, neither the event loop nor the replicated log.
//
//     FlowRecordFile file(context, files, folder, [](absl::Status) { ... });
//     absl::StatusOr<std::string> content = file.read(); // NotFound: not written yet
//     if (!file.isBusy())
//         file.write(content); // the callback is called on the thread of the event loop
//
// The file is replaced as a whole: written under another name, synced and renamed. The thread starts with the first
// write.
#pragma once

#include "store/file_system.h"

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace cicadaward {

class FlowRecordFile {
public:
    using DoneCallback = std::function<void(const absl::Status&)>;

    // `files` is used by the thread, so nothing else may use it. `folder` must exist when write() is called.
    FlowRecordFile(boost::asio::io_context&, FileSystem& files, std::string folder, DoneCallback);
    // Waits for the write that has begun.
    ~FlowRecordFile();
    FlowRecordFile(const FlowRecordFile&) = delete;
    FlowRecordFile& operator=(const FlowRecordFile&) = delete;

    // Blocks the caller. Call it before the first write.
    absl::StatusOr<std::string> read() { return m_files.read(path(fileName)); }
    // Requires that isBusy() is false.
    void write(std::string content);
    // From a call of write() until its callback.
    bool isBusy() const { return m_isBusy; }

private:
    static constexpr const char* fileName = "flow-records";
    static constexpr const char* temporaryName = "flow-records.new";

    void run();
    absl::Status replaceFile(const std::string& content);
    std::string path(const std::string& name) const { return m_folder + "/" + name; }

    boost::asio::io_context& m_context;
    FileSystem& m_files;
    const std::string m_folder;
    DoneCallback m_onDone;
    bool m_isBusy = false; // used only by the event loop
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<std::string> m_content; // to write
    bool m_isStopping = false;
};

} // namespace cicadaward
