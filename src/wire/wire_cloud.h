/* The cloud in the protocol: machine types, machines, and requests to scale out and in. The cloud's
 * client (adapters/) and autoscaling/ call it. See wire.h for units and ownership.
 */
#ifndef BD_WIRE_CLOUD_H
#define BD_WIRE_CLOUD_H
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>

struct bd_machine_type_text {
    char label[BD_LABEL_BYTES];
    double cpus; /* cores */
    double gpus; /* devices */
    double mem_gb;
    double cache_gb;       /* local disk space for images */
    double fetch_gb_per_s; /* download rate of images */
    double price;          /* on demand, per hour */
    double spot_price;     /* of a spot machine, per hour */
    double boot_s;         /* from the provisioning request to the first heartbeat */
    char zones[BD_TYPE_ZONES_MAX][BD_LABEL_BYTES];
    int zone_count;
};

enum bd_cloud_machine_state {
    BD_CLOUD_MACHINE_BOOTING,
    BD_CLOUD_MACHINE_RUNNING,
    BD_CLOUD_MACHINE_FAILED
};

/* A machine in the cloud's list. */
struct bd_cloud_machine {
    char id[BD_LABEL_BYTES];
    char address[BD_LABEL_BYTES]; /* "HOST:PORT" of its worker; empty: not known yet */
    char type[BD_LABEL_BYTES];
    char zone[BD_LABEL_BYTES];
    bool spot;
    enum bd_cloud_machine_state state;
    double age_s; /* since the cloud provided the machine */
};

/* Reads at most `max` machine types; malformed ones are left out. Returns their number; -1: the
 * answer is malformed. */
int bd_wire_read_machine_types(json_t *body, struct bd_machine_type_text *out, int max);
/* Reads a page of the cloud's list of machines; `more` says whether others follow. Returns their
 * number; -1: malformed, or more than `max`. */
int bd_wire_read_machines(json_t *body, struct bd_cloud_machine *out, int max, bool *more);
/* Writes a provisioning request; `request` is its idempotency key. */
char *bd_wire_write_provisioning_request(const char *request, const char *type, const char *zone,
                                         bool spot, int count);
/* Writes a request to return `n` machines. */
char *bd_wire_write_return_request(char (*names)[BD_LABEL_BYTES], int n);
/* Reads at most `max` machine names, from an answer to a provisioning request or from a request to
 * return machines. Returns their number; -1: malformed. */
int bd_wire_read_machine_names(json_t *body, char (*names)[BD_LABEL_BYTES], int max);
/* Whether a 503 of the cloud means an outage, rather than that it has no such machines left. */
bool bd_wire_is_cloud_outage(json_t *body);
#endif
