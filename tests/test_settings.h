/* The settings that the test programs begin with: a small deployment. */
#ifndef BD_TESTS_SETTINGS_H
#define BD_TESTS_SETTINGS_H
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include <stdio.h>

static inline void test_settings_init(struct bd_settings *s)
{
    snprintf(s->node, sizeof s->node, "node-0");
    s->heartbeat_interval = bd_secs(2);
    s->worker_lease = bd_secs(10);
    s->cancellation_limit = bd_secs(35);
    s->gang_start_timeout = bd_secs(30);
    s->gang_peer_timeout = bd_secs(4);
    s->inventory_lag = bd_secs(5);
    s->kv_writes_per_s = 100;
    s->kv_requests_per_s = 200;
    s->cloud_requests_per_s = 3;
    s->kv_value_bytes_max = 8192;
    s->kv_txn_ops_max = 24;
    s->ram_mb = 1;
    s->headroom_share = 0;
    s->idle_boot_times = 1;
}
#endif
