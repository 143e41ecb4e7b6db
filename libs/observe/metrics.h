// Named counters, gauges, quantiles and histograms. Updates are safe from any thread; counters, gauges and histograms
// take relaxed atomic operations. Look a metric up once and keep the reference: it stays valid as long as the registry.
//
//     MetricRegistry registry;
//     Counter& packets = registry.counter("tunnel.packets");
//     packets.add();
//     registry.quantiles("request.ms").add(12.5);
//     registry.histogram("request.wait").add(std::chrono::milliseconds(12));
//     std::string json = registry.json();
//     std::string text = registry.text();
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cicadaward {

// Never decreases; wraps after 2^64.
class Counter {
public:
    void add(uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

class Gauge {
public:
    void set(int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<int64_t> m_value { 0 };
};

// Estimates since the start of the process, in constant memory (the extended P-square algorithm of Boost.Accumulators).
// Takes a lock; not meant for every packet.
class Quantiles {
public:
    struct Summary {
        uint64_t count = 0;
        double mean = 0;
        double smallest = 0;
        double largest = 0;
        double p50 = 0;
        double p90 = 0;
        double p99 = 0;
    };

    Quantiles();
    ~Quantiles();

    // Values that are not finite are ignored.
    void add(double value);
    Summary summary() const;

private:
    struct State;

    mutable std::mutex m_mutex;
    std::unique_ptr<State> m_state;
};

// Durations counted by upper bounds from 1 ms to 10 s, in constant memory. Histograms of several processes may be
// added.
class Histogram {
public:
    struct Bucket {
        double upperSeconds = 0; // infinity for the last one
        uint64_t count = 0; // durations up to this bound, those of the lower buckets included
    };

    Histogram();
    ~Histogram();

    // Negative durations count as 0.
    void add(std::chrono::nanoseconds);
    std::vector<Bucket> buckets() const;
    double sumSeconds() const;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

class MetricRegistry {
public:
    // The same name gives the same metric.
    Counter& counter(const std::string& name);
    Gauge& gauge(const std::string& name);
    Quantiles& quantiles(const std::string& name);
    Histogram& histogram(const std::string& name);

    // {"counters":{name:n},"gauges":{name:n},"quantiles":{name:{"count":n,"mean":x,"min":x,"max":x,"p50":x,...}},
    //  "histograms":{name:{"count":n,"sum":seconds,"buckets":[[upper bound in seconds or null,n],...]}}}
    std::string json() const;
    // The text format that Prometheus reads (version 0.0.4): "flow.offered" becomes cicadaward_flow_offered_total, the
    // gauge "flows.open" cicadaward_flows_open, and a histogram "request.wait" cicadaward_request_wait_seconds.
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Counter> m_counters;
    std::map<std::string, Gauge> m_gauges;
    std::map<std::string, Quantiles> m_quantiles;
    std::map<std::string, Histogram> m_histograms;
};

} // namespace cicadaward
