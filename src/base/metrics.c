#include "base/metrics.h"
#include "brambledoor/log.h"
#include <gsl/gsl_histogram.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bins of equal width in the logarithm: three for each doubling, from a tenth of a millisecond to
 * more than a minute. A quantile is told as its bin's upper edge. */
#define MIN_S 1e-4
#define BINS_A_DOUBLING 3
#define DOUBLINGS 20
#define BINS ((size_t)BINS_A_DOUBLING * DOUBLINGS)

struct bd_metrics {
    struct bd_counter counters[BD_TRAFFIC_KINDS];
    gsl_histogram *timings[BD_TIMINGS];
    double longest[BD_TIMINGS];
};

static const char *const traffic_names[BD_TRAFFIC_KINDS] = {
    "heartbeat", "status-read",    "submission",  "cancellation", "health",
    "invalid",   "refresh",        "commit",      "user-txn",     "election",
    "cloud",     "direct-command", "peer-status", "forward"};
static const char *const timing_names[BD_TIMINGS] = {
    "queue", "heartbeat", "status-read", "submission", "cancellation",
    "cycle", "commit",    "start",       "failover",   "direct-command"};

static gsl_histogram *new_histogram(void)
{
    double bin_edges[BINS + 1];
    for (size_t i = 0; i <= BINS; i++)
        bin_edges[i] = MIN_S * exp2((double)i / BINS_A_DOUBLING);
    gsl_histogram *h = gsl_histogram_alloc(BINS);
    if (h && gsl_histogram_set_ranges(h, bin_edges, BINS + 1) != 0) {
        gsl_histogram_free(h);
        h = NULL;
    }
    return h;
}

struct bd_metrics *bd_metrics_new(void)
{
    struct bd_metrics *m = calloc(1, sizeof *m);
    if (!m)
        return NULL;
    for (size_t i = 0; i < BD_TIMINGS; i++) {
        m->timings[i] = new_histogram();
        if (!m->timings[i]) {
            bd_metrics_free(m);
            return NULL;
        }
    }
    return m;
}

void bd_metrics_free(struct bd_metrics *metrics)
{
    if (!metrics)
        return;
    for (size_t i = 0; i < BD_TIMINGS; i++)
        if (metrics->timings[i])
            gsl_histogram_free(metrics->timings[i]);
    free(metrics);
}

struct bd_counter *bd_metrics_counter(struct bd_metrics *metrics, enum bd_traffic kind)
{
    return metrics ? &metrics->counters[kind] : NULL;
}

void bd_count_message(struct bd_counter *c, size_t bytes_out, size_t bytes_in)
{
    if (!c)
        return;
    atomic_fetch_add(&c->messages, 1);
    atomic_fetch_add(&c->bytes_out, bytes_out);
    atomic_fetch_add(&c->bytes_in, bytes_in);
}

void bd_count_connections(struct bd_counter *c, unsigned n)
{
    if (c)
        atomic_fetch_add(&c->connections, n);
}

void bd_count_write(struct bd_counter *c)
{
    if (c)
        atomic_fetch_add(&c->writes, 1);
}

void bd_metrics_time(struct bd_metrics *metrics, enum bd_timing timing, double seconds)
{
    if (!metrics || !isfinite(seconds))
        return;
    double most = MIN_S * exp2(DOUBLINGS) * 0.999;
    (void)gsl_histogram_increment(metrics->timings[timing], fmin(fmax(seconds, MIN_S), most));
    metrics->longest[timing] = fmax(metrics->longest[timing], seconds);
}

static void report_traffic(struct bd_counter *c, const char *name, const struct bd_log *log,
                           double seconds)
{
    double messages = (double)atomic_exchange(&c->messages, 0);
    double out = (double)atomic_exchange(&c->bytes_out, 0);
    double in = (double)atomic_exchange(&c->bytes_in, 0);
    double connections = (double)atomic_exchange(&c->connections, 0);
    double writes = (double)atomic_exchange(&c->writes, 0);
    if (messages == 0 && connections == 0)
        return;
    bd_log_write(log, BD_LOG_INFO,
                 "traffic %s: %.1f messages, %.0f bytes out, %.0f bytes in, %.2f connections, %.1f "
                 "writes a second",
                 name, messages / seconds, out / seconds, in / seconds, connections / seconds,
                 writes / seconds);
}

/* The upper edge of the bin in which the quantile lies. */
static double quantile(const gsl_histogram *h, double share, double all)
{
    double below = 0, lower = 0, upper = 0;
    for (size_t i = 0; i < BINS; i++) {
        below += gsl_histogram_get(h, i);
        if (below >= share * all && gsl_histogram_get_range(h, i, &lower, &upper) == 0)
            return upper;
    }
    return MIN_S * exp2(DOUBLINGS);
}

static void report_timing(struct bd_metrics *metrics, enum bd_timing timing,
                          const struct bd_log *log)
{
    gsl_histogram *h = metrics->timings[timing];
    double all = gsl_histogram_sum(h);
    if (all > 0)
        bd_log_write(log, BD_LOG_INFO,
                     "time %s: %.0f, half within %.1f ms, 95%% within %.1f ms, at most %.1f ms",
                     timing_names[timing], all,
                     fmin(quantile(h, 0.5, all), metrics->longest[timing]) * 1e3,
                     fmin(quantile(h, 0.95, all), metrics->longest[timing]) * 1e3,
                     metrics->longest[timing] * 1e3);
    gsl_histogram_reset(h);
    metrics->longest[timing] = 0;
}

void bd_metrics_report(struct bd_metrics *metrics, const struct bd_log *log, double seconds)
{
    if (!metrics || seconds <= 0)
        return;
    for (size_t i = 0; i < BD_TRAFFIC_KINDS; i++)
        report_traffic(&metrics->counters[i], traffic_names[i], log, seconds);
    for (size_t i = 0; i < BD_TIMINGS; i++)
        report_timing(metrics, (enum bd_timing)i, log);
    struct mallinfo2 heap = mallinfo2();
    bd_log_write(log, BD_LOG_INFO, "memory: %zu kB of the heap used, %zu kB held",
                 heap.uordblks / 1024, (heap.arena + heap.hblkhd) / 1024);
}
