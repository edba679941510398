#include "yuccashift/observe/metrics.hpp"

#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <mutex>
#include <tuple>
#include <unordered_map>
#include <variant>

namespace yuccashift {

namespace {

    constexpr std::size_t shardCount = 16;
    constexpr std::size_t maxSeriesPerShard = 512;
    constexpr unsigned binsPerDecade = 6;
    constexpr unsigned decades = 6;
    constexpr double minSeconds = 1e-4;
    constexpr double maxSeconds = 1e2;

    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Bins = decltype(boost::histogram::make_histogram(LogAxis(1, 1, 2)));

    // Label values come from documents and settings. The text format requires
    // that newlines, double quotes and backslashes in them are escaped.
    void appendEscaped(std::string& out, std::string_view value)
    {
        for (const char c : value) {
            if (c == '\n') {
                out += "\\n";
                continue;
            }
            if (c == '"' || c == '\\')
                out += '\\';
            out += c;
        }
    }

    std::string formatLabels(Labels labels)
    {
        std::string text;
        for (const auto& label : labels) {
            if (!text.empty())
                text += ',';
            text.append(label.name);
            text += "=\"";
            appendEscaped(text, label.value);
            text += '"';
        }
        return text;
    }

    std::string formatNumber(double value)
    {
        std::array<char, 32> buf {};
        const int n = std::snprintf(buf.data(), buf.size(), "%.6g", value);
        return { buf.data(), static_cast<std::size_t>(n) };
    }

    void appendSample(std::string& out, std::string_view name, std::string_view labels, const std::string& value)
    {
        out.append(name);
        if (!labels.empty())
            out.append("{").append(labels).append("}");
        out.append(" ").append(value).append("\n");
    }

    struct SeriesKey {
        std::string name;
        std::string labels;

        bool operator==(const SeriesKey&) const = default;
        bool operator<(const SeriesKey& other) const { return std::tie(name, labels) < std::tie(other.name, other.labels); }
    };

    struct SeriesKeyHash {
        std::size_t operator()(const SeriesKey& key) const
        {
            constexpr std::size_t multiplier = 31;
            return std::hash<std::string> {}(key.name) * multiplier + std::hash<std::string> {}(key.labels);
        }
    };

    using Series = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<LatencyHistogram>>;

    struct SeriesShard {
        mutable std::mutex mutex;
        std::unordered_map<SeriesKey, Series, SeriesKeyHash> series;
    };

    const char* prometheusType(const Series& series)
    {
        constexpr std::array names { "counter", "gauge", "histogram" };
        return names.at(series.index());
    }

    void renderSeries(std::string& out, const SeriesKey& key, const Series& series)
    {
        if (const auto* counter = std::get_if<std::unique_ptr<Counter>>(&series))
            appendSample(out, key.name, key.labels, std::to_string((*counter)->value()));
        else if (const auto* gauge = std::get_if<std::unique_ptr<Gauge>>(&series))
            appendSample(out, key.name, key.labels, std::to_string((*gauge)->value()));
        else
            std::get<std::unique_ptr<LatencyHistogram>>(series)->render(out, key.name, key.labels);
    }

} // namespace

struct LatencyHistogram::State {
    mutable std::mutex mutex;
    Bins bins = boost::histogram::make_histogram(LogAxis(binsPerDecade * decades, minSeconds, maxSeconds));
    std::uint64_t count = 0;
    double sumSeconds = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_state(std::make_unique<State>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration duration)
{
    const double elapsed = std::chrono::duration<double>(duration).count();
    const std::lock_guard lock(m_state->mutex);
    m_state->bins(elapsed);
    ++m_state->count;
    m_state->sumSeconds += elapsed;
}

std::uint64_t LatencyHistogram::count() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->count;
}

double LatencyHistogram::quantile(double fraction) const
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->count == 0)
        return 0;
    const double targetCount = std::ceil(fraction * static_cast<double>(m_state->count));
    double cumulative = 0;
    const auto& axis = m_state->bins.axis();
    // Bin -1 counts the values below the first edge.
    for (int n = -1; n < axis.size(); ++n) {
        cumulative += m_state->bins.at(n);
        if (cumulative >= targetCount)
            return axis.value(n + 1);
    }
    return maxSeconds;
}

void LatencyHistogram::render(std::string& out, std::string_view name, std::string_view labels) const
{
    const std::lock_guard lock(m_state->mutex);
    const std::string bucketName = std::string(name) + "_bucket";
    const std::string prefix = labels.empty() ? std::string() : std::string(labels) + ",";
    const auto& axis = m_state->bins.axis();
    double cumulative = 0;
    for (int n = -1; n < axis.size(); ++n) {
        cumulative += m_state->bins.at(n);
        appendSample(out, bucketName, prefix + "le=\"" + formatNumber(axis.value(n + 1)) + "\"", formatNumber(cumulative));
    }
    appendSample(out, bucketName, prefix + "le=\"+Inf\"", std::to_string(m_state->count));
    appendSample(out, std::string(name) + "_sum", labels, formatNumber(m_state->sumSeconds));
    appendSample(out, std::string(name) + "_count", labels, std::to_string(m_state->count));
}

struct Metrics::State {
    std::array<SeriesShard, shardCount> shards;

    template <typename Metric>
    Metric& find(std::string_view name, Labels labels)
    {
        SeriesKey key { std::string(name), formatLabels(labels) };
        auto& shard = shards[SeriesKeyHash {}(key) % shardCount];
        const std::lock_guard lock(shard.mutex);
        if (!shard.series.contains(key) && shard.series.size() >= maxSeriesPerShard)
            key.labels = "overflow=\"true\"";
        const auto [it, inserted] = shard.series.try_emplace(key);
        if (inserted)
            it->second = std::make_unique<Metric>();
        return *std::get<std::unique_ptr<Metric>>(it->second);
    }
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

Counter& Metrics::counter(std::string_view name, Labels labels)
{
    return m_state->find<Counter>(name, labels);
}

Gauge& Metrics::gauge(std::string_view name, Labels labels)
{
    return m_state->find<Gauge>(name, labels);
}

LatencyHistogram& Metrics::latency(std::string_view name, Labels labels)
{
    return m_state->find<LatencyHistogram>(name, labels);
}

std::string Metrics::renderPrometheus() const
{
    // Series are never removed, so their addresses stay valid after the shard's lock is released.
    std::map<SeriesKey, const Series*> sorted;
    for (const auto& shard : m_state->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto& [key, series] : shard.series)
            sorted.emplace(key, &series);
    }
    std::string out;
    std::string_view previous;
    for (const auto& [key, series] : sorted) {
        if (key.name != previous)
            out.append("# TYPE ").append(key.name).append(" ").append(prometheusType(*series)).append("\n");
        previous = key.name;
        renderSeries(out, key, *series);
    }
    return out;
}

} // namespace yuccashift
