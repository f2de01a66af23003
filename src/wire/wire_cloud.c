/* The cloud on the wire: machine types, machines, and requests for them. */
#include "wire/wire.h"
#include "wire/wire_internal.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool type_of(json_t *o, struct bd_type_text *t)
{
    memset(t, 0, sizeof *t);
    if (!bd_wire_label(o, "label", t->label) || !bd_wire_amount(o, "vcpus", &t->cpus) ||
        !bd_wire_amount(o, "memGb", &t->mem) || !bd_wire_amount(o, "hourly", &t->price))
        return false;
    if (!bd_wire_amount(o, "accelerators", &t->gpus))
        t->gpus = 0;
    if (!bd_wire_amount(o, "localGb", &t->cache_gb))
        t->cache_gb = 0;
    if (!bd_wire_amount(o, "fetchGbPerS", &t->fetch) || t->fetch <= 0)
        t->fetch = 0.1;
    if (!bd_wire_amount(o, "marketPrice", &t->spot_price))
        t->spot_price = t->price;
    if (!bd_wire_amount(o, "readyS", &t->boot))
        t->boot = 60;
    json_t *z = json_object_get(o, "glades"), *v;
    size_t i;
    json_array_foreach(z, i, v)
    {
        const char *s = json_string_value(v);
        if (s && strlen(s) < BD_LABEL && t->nzones < 16)
            strcpy(t->zones[t->nzones++], s);
    }
    return true;
}

int bd_wire_types(json_t *o, struct bd_type_text *out, int max)
{
    json_t *a = json_object_get(o, "breeds"), *v;
    size_t i;
    int n = 0;
    if (!json_is_array(a))
        return -1;
    json_array_foreach(a, i, v)
    {
        if (n < max && type_of(v, &out[n]))
            n++;
    }
    return n;
}

static bool cloud_machine(json_t *v, struct bd_cloud_machine *m)
{
    memset(m, 0, sizeof *m);
    const char *state = json_string_value(json_object_get(v, "mood"));
    if (!state || !bd_wire_label(v, "id", m->id) || !bd_wire_label(v, "breed", m->type) ||
        !bd_wire_label(v, "glade", m->zone) || !bd_wire_flag(v, "windfall", &m->spot))
        return false;
    if (!bd_wire_label(v, "endpoint", m->addr))
        m->addr[0] = '\0';
    if (!bd_wire_amount(v, "heldS", &m->age))
        m->age = 0;
    m->state = strcmp(state, "running") == 0  ? BD_MACHINE_UP
               : strcmp(state, "failed") == 0 ? BD_MACHINE_FAILED
                                              : BD_MACHINE_BOOTING;
    return true;
}

int bd_wire_machines(json_t *o, struct bd_cloud_machine *out, int max, bool *more)
{
    json_t *a = json_object_get(o, "hearths"), *v;
    size_t i;
    int n = 0;
    if (!json_is_array(a))
        return -1;
    *more = json_is_true(json_object_get(o, "more"));
    json_array_foreach(a, i, v)
    {
        if (n == max || !cloud_machine(v, &out[n]))
            return -1;
        n++;
    }
    return n;
}

char *bd_wire_provision(const char *request, const char *type, const char *zone, bool spot,
                        int count)
{
    json_t *o = json_pack("{s:s,s:s,s:s,s:b,s:i}", "plea", request, "breed", type, "glade", zone,
                          "windfall", (int)spot, "howMany", count);
    char *s = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    return s;
}

char *bd_wire_return(char (*names)[BD_LABEL], int n)
{
    json_t *a = json_array();
    for (int i = 0; i < n; i++)
        json_array_append_new(a, json_string(names[i]));
    json_t *o = json_pack("{s:o}", "hearths", a);
    char *s = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    return s;
}

int bd_wire_machine_names(json_t *o, char (*names)[BD_LABEL], int max)
{
    json_t *a = json_object_get(o, "hearths"), *v;
    size_t i;
    int n = 0;
    if (!json_is_array(a))
        return -1;
    json_array_foreach(a, i, v)
    {
        const char *s = json_string_value(v);
        if (s && strlen(s) < BD_LABEL && n < max)
            strcpy(names[n++], s);
    }
    return n;
}

bool bd_wire_cloud_outage(json_t *o)
{
    const char *why = json_string_value(json_object_get(o, "error"));
    return why && strcmp(why, "trouble") == 0;
}