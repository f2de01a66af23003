#include "base/metrics.h"
#include "brambledoor/log.h"
#include <gsl/gsl_histogram.h>
#include <malloc.h>
#include <math.h>
#include <stdlib.h>

/* A histogram's bins have equal widths in the logarithm, from a tenth of a millisecond to more than
 * a minute. A quantile is reported as its bin's upper edge. */
#define SHORTEST_S 1e-4
#define BINS_PER_DOUBLING 3
#define DOUBLINGS 20
#define BINS ((size_t)BINS_PER_DOUBLING * DOUBLINGS)

#define BYTES_PER_KB 1024

struct bd_metrics {
    struct bd_counter counters[BD_TRAFFIC_KINDS];
    gsl_histogram *histograms[BD_TIMINGS];
    double longest_s[BD_TIMINGS]; /* exact, where the histogram knows only the bin */
};

static const char *const traffic_names[BD_TRAFFIC_KINDS] = {
    "heartbeat", "status-read",    "submission",  "cancellation", "health",
    "invalid",   "refresh",        "commit",      "user-txn",     "election",
    "cloud",     "direct-command", "peer-status", "forward"};
static const char *const timing_names[BD_TIMINGS] = {
    "queue", "heartbeat", "status-read", "submission", "cancellation",
    "cycle", "commit",    "start",       "failover",   "direct-command"};

/* The upper end of all bins, seconds. */
static double histogram_end_s(void)
{
    return SHORTEST_S * exp2(DOUBLINGS);
}

static gsl_histogram *new_histogram(void)
{
    double bin_edges[BINS + 1];
    for (size_t i = 0; i <= BINS; i++)
        bin_edges[i] = SHORTEST_S * exp2((double)i / BINS_PER_DOUBLING);
    gsl_histogram *histogram = gsl_histogram_alloc(BINS);
    if (histogram && gsl_histogram_set_ranges(histogram, bin_edges, BINS + 1) != 0) {
        gsl_histogram_free(histogram);
        return NULL;
    }
    return histogram;
}

/* One that is built in part, too. */
static void free_metrics(struct bd_metrics *metrics)
{
    for (size_t i = 0; i < BD_TIMINGS; i++)
        if (metrics->histograms[i])
            gsl_histogram_free(metrics->histograms[i]);
    free(metrics);
}

struct bd_metrics *bd_metrics_new(void)
{
    struct bd_metrics *metrics = calloc(1, sizeof *metrics);
    if (!metrics)
        return NULL;
    for (size_t i = 0; i < BD_TIMINGS; i++) {
        metrics->histograms[i] = new_histogram();
        if (!metrics->histograms[i]) {
            free_metrics(metrics);
            return NULL;
        }
    }
    return metrics;
}

struct bd_counter *bd_metrics_counter(struct bd_metrics *metrics, enum bd_traffic kind)
{
    return metrics ? &metrics->counters[kind] : NULL;
}

void bd_count_message(struct bd_counter *counter, size_t bytes_out, size_t bytes_in)
{
    if (!counter)
        return;
    atomic_fetch_add(&counter->messages, 1);
    atomic_fetch_add(&counter->bytes_out, bytes_out);
    atomic_fetch_add(&counter->bytes_in, bytes_in);
}

void bd_count_connections(struct bd_counter *counter, unsigned connections)
{
    if (counter)
        atomic_fetch_add(&counter->connections, connections);
}

void bd_count_write(struct bd_counter *counter)
{
    if (counter)
        atomic_fetch_add(&counter->writes, 1);
}

void bd_metrics_record_duration(struct bd_metrics *metrics, enum bd_timing timing, double seconds)
{
    if (!metrics || !isfinite(seconds))
        return;
    double longest_s = histogram_end_s() * 0.999; /* the last bin's end is not in it */
    (void)gsl_histogram_increment(metrics->histograms[timing],
                                  fmin(fmax(seconds, SHORTEST_S), longest_s));
    metrics->longest_s[timing] = fmax(metrics->longest_s[timing], seconds);
}

static void report_traffic(struct bd_counter *counter, const char *name, const struct bd_log *log,
                           double seconds)
{
    double messages = (double)atomic_exchange(&counter->messages, 0);
    double bytes_out = (double)atomic_exchange(&counter->bytes_out, 0);
    double bytes_in = (double)atomic_exchange(&counter->bytes_in, 0);
    double connections = (double)atomic_exchange(&counter->connections, 0);
    double writes = (double)atomic_exchange(&counter->writes, 0);
    if (messages == 0 && connections == 0)
        return;
    bd_log_write(log, BD_LOG_INFO,
                 "traffic %s: %.1f messages, %.0f bytes out, %.0f bytes in, %.2f connections, %.1f "
                 "writes a second",
                 name, messages / seconds, bytes_out / seconds, bytes_in / seconds,
                 connections / seconds, writes / seconds);
}

/* The upper edge of the bin in which the quantile lies, but no more than the longest duration;
 * milliseconds. `total` is the number of durations. */
static double quantile_ms(const struct bd_metrics *metrics, enum bd_timing timing, double share,
                          double total)
{
    const gsl_histogram *histogram = metrics->histograms[timing];
    double count = 0, lower_s = 0, upper_s = 0, quantile_s = histogram_end_s();
    for (size_t i = 0; i < BINS; i++) {
        count += gsl_histogram_get(histogram, i);
        if (count >= share * total &&
            gsl_histogram_get_range(histogram, i, &lower_s, &upper_s) == 0) {
            quantile_s = upper_s;
            break;
        }
    }
    return fmin(quantile_s, metrics->longest_s[timing]) * 1e3;
}

static void report_timing(struct bd_metrics *metrics, enum bd_timing timing,
                          const struct bd_log *log)
{
    double total = gsl_histogram_sum(metrics->histograms[timing]);
    if (total > 0)
        bd_log_write(log, BD_LOG_INFO,
                     "time %s: %.0f, half within %.1f ms, 95%% within %.1f ms, at most %.1f ms",
                     timing_names[timing], total, quantile_ms(metrics, timing, 0.5, total),
                     quantile_ms(metrics, timing, 0.95, total), metrics->longest_s[timing] * 1e3);
    gsl_histogram_reset(metrics->histograms[timing]);
    metrics->longest_s[timing] = 0;
}

static void report_memory(const struct bd_log *log)
{
    struct mallinfo2 heap = mallinfo2();
    bd_log_write(log, BD_LOG_INFO, "memory: %zu kB of the heap used, %zu kB held",
                 heap.uordblks / BYTES_PER_KB, (heap.arena + heap.hblkhd) / BYTES_PER_KB);
}

void bd_metrics_write_report(struct bd_metrics *metrics, const struct bd_log *log, double seconds)
{
    if (!metrics || seconds <= 0)
        return;
    for (size_t i = 0; i < BD_TRAFFIC_KINDS; i++)
        report_traffic(&metrics->counters[i], traffic_names[i], log, seconds);
    for (size_t i = 0; i < BD_TIMINGS; i++)
        report_timing(metrics, (enum bd_timing)i, log);
    report_memory(log);
}
