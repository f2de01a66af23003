/* Machine types of the stand-in for the cloud. park_cloud.c and park_worker.c take the place of the
 * project's fake_cloud.c and fake_worker.c. */
#ifndef PARK_H
#define PARK_H
struct fake_cluster;
struct fake_worker;

enum { PARK_GRAN, PARK_TALL, PARK_TYPES };

struct park_type {
    const char *label;
    double vcpus, mem_gb, hourly, market_price, ready_s, fetch_gb_per_s;
    int capacity; /* machines that exist at the same time */
};

extern struct park_type park_types[PARK_TYPES];
const struct park_type *park_type_of(const struct fake_worker *worker);
void park_set_capacity(struct fake_cluster *cluster, int type, int machines);
#endif
