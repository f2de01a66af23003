/* The settings that the test programs begin with: a small deployment. */
#ifndef BD_TESTS_SETTINGS_H
#define BD_TESTS_SETTINGS_H
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include <stdio.h>

static inline void test_settings_init(struct bd_settings *settings)
{
    snprintf(settings->node, sizeof settings->node, "node-0");
    settings->heartbeat_interval = bd_secs(2);
    settings->worker_lease = bd_secs(10);
    settings->cancellation_limit = bd_secs(35);
    settings->gang_start_timeout = bd_secs(30);
    settings->gang_peer_timeout = bd_secs(4);
    settings->inventory_lag = bd_secs(5);
    settings->kv_writes_per_s = 100;
    settings->kv_requests_per_s = 200;
    settings->cloud_requests_per_s = 3;
    settings->kv_value_bytes_max = 8192;
    settings->kv_txn_ops_max = 24;
    settings->ram_mb = 1;
    settings->headroom_share = 0;
    settings->idle_boot_times = 1;
}
#endif
