/* Machine types of the stand-in for the cloud. */
#ifndef PARK_H
#define PARK_H
struct fake_cluster;
struct fake_worker;

#define PARK_TYPES 2

struct park_type {
    const char *label;
    double vcpus, mem_gb, hourly, market_price, ready_s, fetch_gb_per_s;
    int capacity; /* machines that exist at the same time */
};

extern struct park_type park_types[PARK_TYPES];
const struct park_type *park_type_of(const struct fake_worker *worker);
void park_set_capacity(struct fake_cluster *cluster, int type, int machines);
#endif
