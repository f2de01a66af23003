#include "wire/wire_cloud.h"
#include "wire/wire_internal.h"
#include "wire/wire_limits.h"
#include "wire/wire_names.h"
#include <string.h>

/* Used if the cloud omits the field in a machine type. */
#define FETCH_DEFAULT_GB_PER_S 0.1
#define BOOT_DEFAULT_S 60.0

/* Copies at most `max` labels of a list and skips invalid entries. Returns the number copied. */
static int read_labels(json_t *list, char (*out)[BD_LABEL_BYTES], int max)
{
    json_t *entry;
    size_t i;
    int count = 0;
    json_array_foreach(list, i, entry)
    {
        const char *label = json_string_value(entry);
        if (label && strlen(label) < BD_LABEL_BYTES && count < max)
            strcpy(out[count++], label);
    }
    return count;
}

static bool read_type(json_t *object, struct bd_machine_type_text *out)
{
    memset(out, 0, sizeof *out);
    if (!bd_wire_read_label(object, KEY_TYPE_LABEL, out->label) ||
        !bd_wire_read_amount(object, KEY_CPUS, &out->cpus) ||
        !bd_wire_read_amount(object, KEY_MEMORY_GB, &out->mem_gb) ||
        !bd_wire_read_amount(object, KEY_PRICE, &out->price))
        return false;
    if (!bd_wire_read_amount(object, KEY_GPUS, &out->gpus))
        out->gpus = 0;
    if (!bd_wire_read_amount(object, KEY_CACHE_GB, &out->cache_gb))
        out->cache_gb = 0;
    if (!bd_wire_read_amount(object, KEY_FETCH_GB_PER_S, &out->fetch_gb_per_s) ||
        out->fetch_gb_per_s <= 0)
        out->fetch_gb_per_s = FETCH_DEFAULT_GB_PER_S;
    if (!bd_wire_read_amount(object, KEY_SPOT_PRICE, &out->spot_price))
        out->spot_price = out->price;
    if (!bd_wire_read_amount(object, KEY_BOOT_S, &out->boot_s))
        out->boot_s = BOOT_DEFAULT_S;
    out->zone_count =
        read_labels(json_object_get(object, KEY_ZONES), out->zones, BD_TYPE_ZONES_MAX);
    return true;
}

int bd_wire_read_machine_types(json_t *body, struct bd_machine_type_text *out, int max)
{
    json_t *types = json_object_get(body, KEY_MACHINE_TYPES), *type;
    size_t i;
    int count = 0;
    if (!json_is_array(types))
        return -1;
    json_array_foreach(types, i, type)
    {
        if (count < max && read_type(type, &out[count]))
            count++;
    }
    return count;
}

static enum bd_cloud_machine_state parse_machine_state(const char *text)
{
    if (strcmp(text, "running") == 0)
        return BD_CLOUD_MACHINE_RUNNING;
    if (strcmp(text, "failed") == 0)
        return BD_CLOUD_MACHINE_FAILED;
    return BD_CLOUD_MACHINE_BOOTING;
}

static bool read_machine(json_t *object, struct bd_cloud_machine *out)
{
    memset(out, 0, sizeof *out);
    const char *state = json_string_value(json_object_get(object, KEY_STATE));
    if (!state || !bd_wire_read_label(object, KEY_ID, out->id) ||
        !bd_wire_read_label(object, KEY_MACHINE_TYPE, out->type) ||
        !bd_wire_read_label(object, KEY_ZONE, out->zone) ||
        !bd_wire_read_bool(object, KEY_SPOT, &out->spot))
        return false;
    if (!bd_wire_read_label(object, KEY_ADDRESS, out->address))
        out->address[0] = '\0';
    if (!bd_wire_read_amount(object, KEY_MACHINE_AGE_S, &out->age_s))
        out->age_s = 0;
    out->state = parse_machine_state(state);
    return true;
}

int bd_wire_read_machines(json_t *body, struct bd_cloud_machine *out, int max, bool *has_more)
{
    json_t *machines = json_object_get(body, KEY_MACHINES), *machine;
    size_t i;
    int count = 0;
    if (!json_is_array(machines))
        return -1;
    *has_more = json_is_true(json_object_get(body, KEY_MORE));
    json_array_foreach(machines, i, machine)
    {
        if (count == max || !read_machine(machine, &out[count]))
            return -1;
        count++;
    }
    return count;
}

char *bd_wire_write_provisioning_request(const char *request_id, const char *type, const char *zone,
                                         bool spot, int count)
{
    return bd_wire_serialize(json_pack("{s:s,s:s,s:s,s:b,s:i}", KEY_REQUEST_ID, request_id,
                                       KEY_MACHINE_TYPE, type, KEY_ZONE, zone, KEY_SPOT, (int)spot,
                                       KEY_MACHINE_COUNT, count));
}

char *bd_wire_write_return_request(char (*names)[BD_LABEL_BYTES], int count)
{
    json_t *machines = json_array();
    for (int i = 0; i < count; i++)
        json_array_append_new(machines, json_string(names[i]));
    return bd_wire_serialize(json_pack("{s:o}", KEY_MACHINES, machines));
}

int bd_wire_read_machine_names(json_t *body, char (*names)[BD_LABEL_BYTES], int max)
{
    json_t *machines = json_object_get(body, KEY_MACHINES);
    return json_is_array(machines) ? read_labels(machines, names, max) : -1;
}

bool bd_wire_is_cloud_outage(json_t *body)
{
    const char *error = json_string_value(json_object_get(body, KEY_ERROR));
    return error && strcmp(error, ERROR_CLOUD_OUTAGE) == 0;
}
