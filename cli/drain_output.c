#include "drain_output.h"
#include "base/timeutil.h"
#include <stdio.h>
#include <time.h>

const char *text_field(json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text ? text : "";
}

static void print_drain(json_t *drain)
{
    printf("%-24s %-8s %-10s %lld machines\n", text_field(drain, "name"), text_field(drain, "mode"),
           text_field(drain, "state"),
           (long long)json_integer_value(json_object_get(drain, "machines")));
}

static void print_machine(json_t *machine, double wall_clock_s)
{
    double stage_since_s = json_number_value(json_object_get(machine, "since"));
    printf("  %-20s %-9s %6.0f s", text_field(machine, "machine"), text_field(machine, "stage"),
           wall_clock_s > stage_since_s ? wall_clock_s - stage_since_s : 0);
    if (*text_field(machine, "waits_for"))
        printf("  waits for %s", text_field(machine, "waits_for"));
    if (*text_field(machine, "team"))
        printf(" of %s", text_field(machine, "team"));
    if (*text_field(machine, "replacement"))
        printf("  replaced by %s", text_field(machine, "replacement"));
    printf("\n");
}

static void print_machines(json_t *machines)
{
    struct timespec wall_clock = {0, 0};
    json_t *machine;
    size_t i;
    (void)clock_gettime(CLOCK_REALTIME, &wall_clock);
    json_array_foreach(machines, i, machine)
    {
        print_machine(machine, bd_to_secs(wall_clock));
    }
}

void print_drains(json_t *response)
{
    json_t *drains = json_object_get(response, "drains"), *drain;
    size_t i;
    if (!drains) {
        print_drain(response);
        print_machines(json_object_get(response, "entries"));
        return;
    }
    json_array_foreach(drains, i, drain)
    {
        print_drain(drain);
    }
}

void print_refusal(long status, json_t *response)
{
    const char *field = text_field(response, "field");
    if (status == 0)
        fprintf(stderr, "brambledoor drain: no response from the controller\n");
    else
        fprintf(stderr, "brambledoor drain: %ld %s%s%s\n", status, field, *field ? ": " : "",
                text_field(response, "error"));
}
