/* An administrator's request for a drain: validation of its fields, and resolution of the machines
 * that it selects. Owns no state; called by the administration adapters. */
#ifndef BD_DRAIN_REQUEST_H
#define BD_DRAIN_REQUEST_H
#include "brambledoor/settings.h"
#include "drain/drain_record.h"
#include "drain/drain_rules.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

struct bd_drain_request {
    char name[BD_LABEL_BYTES];
    enum bd_drain_mode mode;
    char type[BD_NAME_BYTES], zone[BD_NAME_BYTES], selection[BD_NAME_BYTES]; /* empty: missing */
    bool all;         /* confirms a request that selects all machines */
    json_t *machines; /* ids, borrowed from the JSON object; NULL: missing */
};

/* A refusal: an HTTP status, the invalid field and the reason. */
struct bd_drain_refusal {
    int status;
    char field[BD_NAME_BYTES], reason[96];
};

/* Reads a request; out->machines is borrowed from `object`. False: *refusal is set, with status
 * 400. */
bool bd_drain_request_read(json_t *object, struct bd_drain_request *out,
                           struct bd_drain_refusal *refusal);
/* Resolves the machines that the request selects from the cloud's inventory. Returns an
 * array of ids, which the caller owns, or NULL with the refusal (404: unknown machine or selection;
 * 400: no machine, a duplicate machine, or all machines without `all`). */
json_t *bd_drain_request_resolve(const struct bd_drain_request *request,
                                 const struct bd_drain_rules *rules,
                                 const struct bd_cloud_machine *inventory, size_t ninventory,
                                 struct bd_drain_refusal *refusal);
#endif
