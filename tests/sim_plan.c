#include "sim_plan.h"
#include "numbers.h"
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES 3
#define FETCH_S 0.6

static void plain(struct sim_plan *p, int jobs, double cancelled)
{
    memset(p, 0, sizeof *p);
    p->jobs = jobs;
    p->cancelled = cancelled;
    p->fetch = FETCH_S;
    p->machines = SIM_PLAN_MACHINES;
    p->services = SERVICES;
    p->budgets[0] = p->budgets[1] = 1;
}

void sim_plan_drawn(struct sim_plan *p, unsigned long seed)
{
    static const char *const verbs[] = {
        "outage", "slow",   "refuse", "blind", "late",  "lost",   "peers", "zones", "held",
        "copies", "next",   "hang",   "deaf",  "mute",  "cut",    "hold",  "die",   "crash",
        "all",    "cancel", "burst",  "alone", "crash", "cancel", "hang",  "stall", "stall"};
    const int n = (int)(sizeof verbs / sizeof *verbs);
    gsl_rng *r = gsl_rng_alloc(gsl_rng_taus2);
    if (!r)
        abort();
    gsl_rng_set(r, seed * 104729 + 5);
    plain(p, 45, 0.3);
    double at = 12;
    while (at < 130 && p->n < 40) {
        struct sim_trouble *t = &p->t[p->n++];
        const char *v = verbs[gsl_rng_uniform_int(r, (unsigned long)n)];
        double u = gsl_rng_uniform(r), w = gsl_rng_uniform(r);
        t->at = at;
        snprintf(t->verb, sizeof t->verb, "%s", v);
        snprintf(t->who, sizeof t->who, "%s", w < 0.7 ? "leader" : "any");
        bool shared = *v == 'l' || strcmp(v, "copies") == 0 || strcmp(v, "next") == 0;
        bool machine = strchr("hdm", *v) || strcmp(v, "cut") == 0;
        if (strcmp(v, "held") == 0)
            machine = false;
        t->a = shared ? 0.1 + 0.6 * u : machine ? 1 + floor(2 * u) : 2 + 20 * u;
        t->b = shared ? 10 + 20 * w : machine ? 1 + 14 * w : 0;
        if (strcmp(v, "crash") == 0 || strcmp(v, "all") == 0)
            t->a = w < 0.5 ? 0.2 + u : 2 + 3 * u;
        if (strcmp(v, "outage") == 0 && w < 0.3)
            t->a = 36 + 10 * u;
        if (strcmp(v, "cancel") == 0 || strcmp(v, "burst") == 0)
            t->a = 2 + floor(5 * u);
        at += gsl_rng_uniform(r) < 0.5 ? 3 * gsl_rng_uniform(r) : 14 * gsl_rng_uniform(r);
    }
    gsl_rng_free(r);
}

/* A drawn day on which the controllers' own queues and processes are late as well. */
void sim_plan_delays(struct sim_plan *p, unsigned long seed)
{
    static const char *const verbs[] = {"senders", "senders", "stall", "hang", "cancel", "burst"};
    sim_plan_drawn(p, seed);
    gsl_rng *r = gsl_rng_alloc(gsl_rng_taus2);
    if (!r)
        abort();
    gsl_rng_set(r, seed * 49979687 + 7);
    p->cancelled = 0.5;
    p->machines = 2 * SIM_PLAN_MACHINES;
    p->fetch = gsl_rng_uniform(r) < 0.5 ? 0.01 : FETCH_S;
    double at = 15;
    while (at < 130 && p->n < 80) {
        struct sim_trouble *t = &p->t[p->n++];
        const char *v = verbs[gsl_rng_uniform_int(r, sizeof verbs / sizeof *verbs)];
        double u = gsl_rng_uniform(r);
        *t = (struct sim_trouble){.at = at};
        snprintf(t->verb, sizeof t->verb, "%s", v);
        snprintf(t->who, sizeof t->who, "%s", u < 0.8 ? "leader" : "any");
        t->a = 2 + floor(5 * u);
        if (strcmp(v, "senders") == 0)
            t->a = 3 + 70 * gsl_rng_uniform(r);
        else if (strcmp(v, "stall") == 0)
            t->a = 1 + 8 * u;
        else if (strcmp(v, "hang") == 0)
            t->b = 1 + 14 * gsl_rng_uniform(r);
        at += 2 + 12 * gsl_rng_uniform(r);
    }
    gsl_rng_free(r);
}

/* A drawn day with more services, and drains among its troubles. */
void sim_plan_drains(struct sim_plan *p, unsigned long seed)
{
    static const char *const verbs[] = {"drain", "drain", "drain", "pause", "calloff"};
    sim_plan_drawn(p, seed);
    gsl_rng *r = gsl_rng_alloc(gsl_rng_taus2);
    if (!r)
        abort();
    gsl_rng_set(r, seed * 15485863 + 3);
    p->drains = 1;
    p->services = 12;
    p->machines = 2 * SIM_PLAN_MACHINES;
    p->budgets[0] = 1 + (uint32_t)gsl_rng_uniform_int(r, 3);
    p->budgets[1] = 1 + (uint32_t)gsl_rng_uniform_int(r, 3);
    double at = 20;
    while (at < 130 && p->n < 60) {
        struct sim_trouble *t = &p->t[p->n++];
        const char *v = verbs[gsl_rng_uniform_int(r, 5)];
        snprintf(t->verb, sizeof t->verb, "%s", v);
        t->at = at;
        t->a = *v == 'd' ? 1 + floor(10 * gsl_rng_uniform(r)) : 1;
        t->b = gsl_rng_uniform(r) < 0.5;
        if (*v == 'p') {
            struct sim_trouble *back = &p->t[p->n++];
            *back = *t;
            snprintf(back->verb, sizeof back->verb, "resume");
            back->at = at + 10 * gsl_rng_uniform(r);
        }
        at += 5 + 30 * gsl_rng_uniform(r);
    }
    gsl_rng_free(r);
}

static bool has_who(const char *verb)
{
    return strcmp(verb, "refuse") == 0 || strcmp(verb, "peers") == 0 ||
           strcmp(verb, "crash") == 0 || strcmp(verb, "alone") == 0 || strcmp(verb, "blind") == 0 ||
           strcmp(verb, "stall") == 0 || strcmp(verb, "senders") == 0;
}

/* False: the line names no setting of the day. */
static bool read_setting(struct sim_plan *p, const char *line)
{
    char name[16], rest[128];
    double values[2] = {0};
    if (sscanf(line, "%15s %127[^\n]", name, rest) != 2)
        return false;
    size_t count = numbers_split(rest, ' ', values, 2);
    if (count == 0)
        return false;
    if (strcmp(name, "small") == 0)
        p->small = (int)values[0];
    else if (strcmp(name, "drains") == 0)
        p->drains = (int)values[0];
    else if (strcmp(name, "machines") == 0)
        p->machines = (int)values[0];
    else if (strcmp(name, "services") == 0)
        p->services = (int)values[0];
    else if (strcmp(name, "jobs") == 0)
        p->jobs = (int)values[0];
    else if (strcmp(name, "fetch") == 0)
        p->fetch = values[0];
    else if (strcmp(name, "cancelled") == 0)
        p->cancelled = values[0];
    else if (strcmp(name, "budget") == 0 && count == 2) {
        p->budgets[0] = (uint32_t)values[0];
        p->budgets[1] = (uint32_t)values[1];
    } else
        return false;
    return true;
}

/* `at SECONDS TROUBLE [WHO] NUMBERS`; false: the line is none. */
static bool read_trouble(struct sim_trouble *t, const char *line)
{
    static const char at[] = "at ";
    char rest[128] = "", amounts[128];
    double values[2] = {0};
    if (strncmp(line, at, strlen(at)) != 0)
        return false;
    char *end;
    t->at = strtod(line + strlen(at), &end);
    if (end == line + strlen(at) || sscanf(end, "%15s %127[^\n]", t->verb, rest) < 1)
        return false;
    if (has_who(t->verb)) {
        bool is_whole = sscanf(rest, "%15s %127[^\n]", t->who, amounts) == 2;
        return is_whole && numbers_split(amounts, ' ', &t->a, 1) == 1;
    }
    size_t count = numbers_split(rest, ' ', values, 2);
    t->a = values[0];
    t->b = values[1];
    return count >= 1;
}

bool sim_plan_read(struct sim_plan *p, const char *path)
{
    char line[256];
    int at_line = 0;
    FILE *f = fopen(path, "r");
    plain(p, 40, 0.25);
    bool good = f != NULL;
    while (f && good && fgets(line, sizeof line, f)) {
        at_line++;
        if (line[0] == '#' || line[strspn(line, " \n")] == '\0')
            continue;
        if (read_setting(p, line))
            continue;
        good = p->n < PLAN_TROUBLES_MAX && read_trouble(&p->t[p->n], line);
        p->n++;
    }
    if (!good)
        fprintf(stderr, "%s:%d: not a day\n", path, at_line);
    if (f)
        (void)fclose(f);
    return good && p->n > 0;
}
