/* Pausing, resuming and cancelling a drain. */
#include "adapters/admin_store.h"
#include "adapters/admin_store_internal.h"
#include "adapters/kv_client.h"
#include "drain/drain.h"
#include "drain/drain_record.h"
#include <jansson.h>
#include <stdbool.h>

#define TRIES_MAX 3 /* each concurrent change of the record makes a try fail */

static enum bd_drain_state requested_state(enum bd_drain_verb verb)
{
    switch (verb) {
    case BD_VERB_PAUSE:
        return BD_DRAIN_PAUSED;
    case BD_VERB_RESUME:
        return BD_DRAIN_ACTIVE;
    case BD_VERB_CANCEL:
        break;
    }
    return BD_DRAIN_CANCELLED;
}

static bool has_ended(const struct bd_drain_record *record)
{
    return record->state == BD_DRAIN_DONE || record->state == BD_DRAIN_CANCELLED;
}

/* Sets the drain's state. False: the record was changed concurrently, and there is no response. */
static bool write_state(const struct bd_admin_store *store, struct bd_drain_record *record,
                        enum bd_drain_state state, struct bd_admin_response *response)
{
    long status = BD_KV_OK;
    if (record->state != state) {
        record->state = state;
        if (state == BD_DRAIN_CANCELLED)
            record->ended_at_s = bd_admin_wall_time_s();
        status = bd_admin_write_drain(store, record);
    }
    if (status == BD_KV_CONFLICT)
        return false;
    *response = status == BD_KV_OK ? bd_admin_show_record(BD_ADMIN_OK, record)
                                   : bd_admin_store_unreachable();
    return true;
}

/* Reads and changes the drain. False: the record was changed concurrently, and there is no
 * response. */
static bool try_change(const struct bd_admin_store *store, const char *name,
                       enum bd_drain_verb verb, struct bd_admin_response *response)
{
    struct bd_stored_drain drain;
    bool has_response = true;
    enum bd_drain_state state = requested_state(verb);
    long status = bd_admin_read_drain(store, name, &drain);
    if (status == BD_KV_NOT_FOUND)
        *response = bd_admin_refuse(BD_ADMIN_NOT_FOUND, "name", "no such drain");
    else if (status != BD_KV_OK)
        *response = bd_admin_store_unreachable();
    else if (has_ended(&drain.record) && drain.record.state != state)
        *response = bd_admin_refuse(BD_ADMIN_CONFLICT, "state", "the drain is over");
    else
        has_response = write_state(store, &drain.record, state, response);
    json_decref(drain.answer);
    return has_response;
}

struct bd_admin_response bd_admin_change_drain(const struct bd_admin_store *store, const char *name,
                                               enum bd_drain_verb verb)
{
    struct bd_admin_response response;
    for (int i = 0; i < TRIES_MAX; i++) {
        if (try_change(store, name, verb, &response))
            return response;
    }
    return bd_admin_refuse(BD_ADMIN_UNAVAILABLE, "", "the drain is being changed");
}
