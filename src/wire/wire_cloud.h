/* Cloud protocol: machine types, machines, and requests to provision and to return machines. Used
 * by the cloud client (adapters/) and autoscaling/. See wire.h for units and ownership.
 */
#ifndef BD_WIRE_CLOUD_H
#define BD_WIRE_CLOUD_H
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>

/* A machine type offered by the cloud; its zones are not yet resolved to indices. */
struct bd_machine_type_text {
    char label[BD_LABEL_BYTES];
    double cpus; /* cores */
    double gpus; /* devices */
    double mem_gb;
    double cache_gb;       /* local disk space for images */
    double fetch_gb_per_s; /* download rate of images */
    double price;          /* on-demand price per hour */
    double spot_price;     /* per hour */
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
    char address[BD_LABEL_BYTES]; /* "HOST:PORT" of its worker; empty: not yet known */
    char type[BD_LABEL_BYTES];
    char zone[BD_LABEL_BYTES];
    bool spot;
    enum bd_cloud_machine_state state;
    double age_s; /* since the cloud provided the machine */
};

/* Reads at most `max` machine types and skips malformed ones. Returns the number of types read, or
 * -1 if the response is malformed. */
int bd_wire_read_machine_types(json_t *body, struct bd_machine_type_text *out, int max);
/* Reads a page of the cloud's list of machines; `has_more` is set if further pages follow. Returns
 * the number of machines, or -1 if the page is malformed or has more than `max` machines. */
int bd_wire_read_machines(json_t *body, struct bd_cloud_machine *out, int max, bool *has_more);
/* Writes a request for `count` machines; `request_id` is its idempotency key. */
char *bd_wire_write_provisioning_request(const char *request_id, const char *type, const char *zone,
                                         bool spot, int count);
/* Writes a request to return `count` machines to the cloud. */
char *bd_wire_write_return_request(char (*names)[BD_LABEL_BYTES], int count);
/* Reads at most `max` machine names from the response to a provisioning request, or from a request
 * to return machines. Returns the number of names, or -1 if the list is malformed. */
int bd_wire_read_machine_names(json_t *body, char (*names)[BD_LABEL_BYTES], int max);
/* Whether a 503 response of the cloud means an outage. Otherwise the cloud has no more machines of
 * the requested type. */
bool bd_wire_is_cloud_outage(json_t *body);
#endif
