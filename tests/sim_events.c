/* The event queue of a simulated day, its random numbers and its output. */
#include "base/json_reader.h"
#include "simulation.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

double sim_random(struct sim *sim)
{
    return gsl_rng_uniform(sim->rng);
}

double sim_uniform(struct sim *sim, double min, double max)
{
    return min + (max - min) * sim_random(sim);
}

double sim_network_delay(struct sim *sim)
{
    return sim_random(sim) < 0.02 ? sim_uniform(sim, 0.05, 0.4) : sim_uniform(sim, 0.001, 0.006);
}

char *sim_spell(struct sim *sim, json_t *message)
{
    return sim->has_odd_spellings ? spelling_write(&sim->spelling, message)
                                  : json_dumps(message, JSON_COMPACT);
}

json_t *sim_spell_and_read(struct sim *sim, json_t *message)
{
    if (!message || !sim->has_odd_spellings)
        return json_incref(message);
    char *text = sim_spell(sim, message);
    json_t *read = bd_json_read(text, strlen(text), NULL, NULL);
    if (!read)
        sim_violation(sim, "unreadable: %.200s", text);
    free(text);
    return read;
}

void sim_trace(struct sim *sim, const char *fmt, ...)
{
    va_list ap;
    if (!sim->is_verbose)
        return;
    va_start(ap, fmt);
    printf("%8.2f ", sim->now);
    vprintf(fmt, ap);
    printf("\n");
    va_end(ap);
}

void sim_violation(struct sim *sim, const char *fmt, ...)
{
    va_list ap;
    if (++sim->violations > SIM_VIOLATIONS_MAX)
        return;
    va_start(ap, fmt);
    printf("seed %lu, %.2f s: ", sim->seed, sim->now);
    vprintf(fmt, ap);
    printf("\n");
    va_end(ap);
}

struct sim_event *sim_schedule(struct sim *sim, double delay_s, enum sim_event_kind kind)
{
    struct sim_event *event = calloc(1, sizeof *event), **link = &sim->queue;
    if (!event)
        abort();
    event->at = sim->now + (delay_s > 0 ? delay_s : 0);
    event->order = ++sim->order;
    event->kind = kind;
    while (*link && (*link)->at <= event->at)
        link = &(*link)->next;
    event->next = *link;
    *link = event;
    return event;
}

struct sim_event *sim_reschedule(struct sim *sim, struct sim_event *event, double delay_s)
{
    struct sim_event *again = sim_schedule(sim, delay_s, event->kind), copy = *event;
    copy.at = again->at;
    copy.order = again->order;
    copy.next = again->next;
    *again = copy;
    event->text = NULL;
    return again;
}

bool sim_draw_share(struct sim *sim, double share, double until)
{
    return sim->now < until && sim_random(sim) < share;
}

bool sim_draw_command_delayed(struct sim *sim)
{
    return sim->now < sim->commands_delayed_until && sim_random(sim) < 0.3;
}
