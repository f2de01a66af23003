#include "base/metrics.h"
#include "base/units.h"
#include "brambledoor/log.h"
#include <gsl/gsl_histogram.h>
#include <malloc.h>
#include <math.h>
#include <stdlib.h>

/* The histogram bins have equal widths on a logarithmic scale, from 0.1 ms to more than a minute. A
 * quantile is reported as the upper edge of its bin. */
#define SHORTEST_S 1e-4
#define BINS_PER_DOUBLING 3
#define DOUBLINGS 20
#define BINS ((size_t)BINS_PER_DOUBLING * DOUBLINGS)

struct bd_metrics {
    struct bd_counter counters[BD_TRAFFIC_KINDS];
    atomic_uint closed[BD_CLOSINGS];
    gsl_histogram *histograms[BD_TIMINGS];
    double longest_s[BD_TIMINGS]; /* exact maximum; the histogram only gives its bin */
};

static const char *const traffic_names[BD_TRAFFIC_KINDS] = {
    "heartbeat", "status-read",    "submission",  "cancellation", "health",
    "invalid",   "refresh",        "commit",      "user-txn",     "election",
    "cloud",     "direct-command", "peer-status", "forward"};
static const char *const closing_names[BD_CLOSINGS] = {"request-deadline", "answer-deadline",
                                                       "room"};
static const char *const timing_names[BD_TIMINGS] = {
    "queue", "heartbeat", "status-read", "submission", "cancellation",
    "cycle", "commit",    "start",       "failover",   "direct-command"};

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

/* Also frees partially initialized metrics. */
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

void bd_count_closed(struct bd_metrics *metrics, enum bd_closing reason)
{
    if (metrics)
        atomic_fetch_add(&metrics->closed[reason], 1);
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
    /* Durations of the end of the histogram or more count in the last bin, whose range excludes its
     * upper edge. */
    double bin_max_s = histogram_end_s() * 0.999;
    (void)gsl_histogram_increment(metrics->histograms[timing],
                                  fmin(fmax(seconds, SHORTEST_S), bin_max_s));
    metrics->longest_s[timing] = fmax(metrics->longest_s[timing], seconds);
}

static void report_traffic(struct bd_counter *counter, const char *name, const struct bd_log *log,
                           double interval_s)
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
                 name, messages / interval_s, bytes_out / interval_s, bytes_in / interval_s,
                 connections / interval_s, writes / interval_s);
}

static void report_closed(struct bd_metrics *metrics, const struct bd_log *log)
{
    for (size_t i = 0; i < BD_CLOSINGS; i++) {
        unsigned closed = atomic_exchange(&metrics->closed[i], 0);
        if (closed > 0)
            bd_log_write(log, BD_LOG_INFO, "closed %s: %u connections", closing_names[i], closed);
    }
}

/* Returns the upper edge of the bin that contains the quantile, limited to the longest duration, in
 * milliseconds. `total` is the number of durations. */
static double quantile_ms(const struct bd_metrics *metrics, enum bd_timing timing, double fraction,
                          double total)
{
    const gsl_histogram *histogram = metrics->histograms[timing];
    double count = 0, lower_s = 0, upper_s = 0, quantile_s = histogram_end_s();
    for (size_t i = 0; i < BINS; i++) {
        count += gsl_histogram_get(histogram, i);
        if (count >= fraction * total &&
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
                 heap.uordblks / BD_BYTES_PER_KB, (heap.arena + heap.hblkhd) / BD_BYTES_PER_KB);
}

void bd_metrics_write_report(struct bd_metrics *metrics, const struct bd_log *log,
                             double interval_s)
{
    if (!metrics || interval_s <= 0)
        return;
    for (size_t i = 0; i < BD_TRAFFIC_KINDS; i++)
        report_traffic(&metrics->counters[i], traffic_names[i], log, interval_s);
    report_closed(metrics, log);
    for (size_t i = 0; i < BD_TIMINGS; i++)
        report_timing(metrics, (enum bd_timing)i, log);
    report_memory(log);
}
