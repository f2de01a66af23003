#include "sim_plan.h"
#include "numbers.h"
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES 3
#define FETCH_S 0.6

static void plain(struct sim_plan *plan, int jobs, double cancelled)
{
    memset(plan, 0, sizeof *plan);
    plan->jobs = jobs;
    plan->cancelled = cancelled;
    plan->fetch = FETCH_S;
    plan->machines = SIM_PLAN_MACHINES;
    plan->services = SERVICES;
    plan->budgets[0] = plan->budgets[1] = 1;
}

/* Faults that take a share of the messages and a duration. */
static const char *const share_verbs[] = {"late-writes", "lost-answers", "replay",
                                          "replay-failover"};
/* Faults that take a number of machines and a duration. */
static const char *const machine_verbs[] = {"hang", "inbound-cut",  "outbound-cut",
                                            "cut",  "cut-buffered", "die"};

static bool is_one_of(const char *verb, const char *const *verbs, size_t count)
{
    for (size_t i = 0; i < count; i++)
        if (strcmp(verb, verbs[i]) == 0)
            return true;
    return false;
}

void sim_plan_draw(struct sim_plan *plan, unsigned long seed)
{
    static const char *const verbs[] = {
        "store-outage",    "store-slow",   "store-refuse", "refresh-fail",   "late-writes",
        "lost-answers",    "peer-cut",     "zone-cut",     "delay-commands", "replay",
        "replay-failover", "hang",         "inbound-cut",  "outbound-cut",   "cut",
        "cut-buffered",    "die",          "crash",        "crash-all",      "cancel",
        "burst",           "isolate",      "crash",        "cancel",         "hang",
        "process-pause",   "process-pause"};
    const int n = (int)(sizeof verbs / sizeof *verbs);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!rng)
        abort();
    gsl_rng_set(rng, seed * 104729 + 5);
    plain(plan, 45, 0.3);
    double at = 12;
    while (at < 130 && plan->nfaults < 40) {
        struct sim_fault *fault = &plan->faults[plan->nfaults++];
        const char *verb = verbs[gsl_rng_uniform_int(rng, (unsigned long)n)];
        double u = gsl_rng_uniform(rng), w = gsl_rng_uniform(rng);
        fault->at = at;
        snprintf(fault->verb, sizeof fault->verb, "%s", verb);
        snprintf(fault->who, sizeof fault->who, "%s", w < 0.7 ? "leader" : "any");
        bool has_share = is_one_of(verb, share_verbs, sizeof share_verbs / sizeof *share_verbs);
        bool is_machine_fault =
            is_one_of(verb, machine_verbs, sizeof machine_verbs / sizeof *machine_verbs);
        fault->a = has_share ? 0.1 + 0.6 * u : is_machine_fault ? 1 + floor(2 * u) : 2 + 20 * u;
        fault->b = has_share ? 10 + 20 * w : is_machine_fault ? 1 + 14 * w : 0;
        if (strcmp(verb, "crash") == 0 || strcmp(verb, "crash-all") == 0)
            fault->a = w < 0.5 ? 0.2 + u : 2 + 3 * u;
        if (strcmp(verb, "store-outage") == 0 && w < 0.3)
            fault->a = 36 + 10 * u;
        if (strcmp(verb, "cancel") == 0 || strcmp(verb, "burst") == 0)
            fault->a = 2 + floor(5 * u);
        at += gsl_rng_uniform(rng) < 0.5 ? 3 * gsl_rng_uniform(rng) : 14 * gsl_rng_uniform(rng);
    }
    gsl_rng_free(rng);
}

/* A drawn day on which the controllers' own queues and processes are late as well. */
void sim_plan_draw_delays(struct sim_plan *plan, unsigned long seed)
{
    static const char *const verbs[] = {"delay-sends", "delay-sends", "process-pause",
                                        "hang",        "cancel",      "burst"};
    sim_plan_draw(plan, seed);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!rng)
        abort();
    gsl_rng_set(rng, seed * 49979687 + 7);
    plan->cancelled = 0.5;
    plan->machines = 2 * SIM_PLAN_MACHINES;
    plan->fetch = gsl_rng_uniform(rng) < 0.5 ? 0.01 : FETCH_S;
    double at = 15;
    while (at < 130 && plan->nfaults < 80) {
        struct sim_fault *fault = &plan->faults[plan->nfaults++];
        const char *verb = verbs[gsl_rng_uniform_int(rng, sizeof verbs / sizeof *verbs)];
        double u = gsl_rng_uniform(rng);
        *fault = (struct sim_fault){.at = at};
        snprintf(fault->verb, sizeof fault->verb, "%s", verb);
        snprintf(fault->who, sizeof fault->who, "%s", u < 0.8 ? "leader" : "any");
        fault->a = 2 + floor(5 * u);
        if (strcmp(verb, "delay-sends") == 0)
            fault->a = 3 + 70 * gsl_rng_uniform(rng);
        else if (strcmp(verb, "process-pause") == 0)
            fault->a = 1 + 8 * u;
        else if (strcmp(verb, "hang") == 0)
            fault->b = 1 + 14 * gsl_rng_uniform(rng);
        at += 2 + 12 * gsl_rng_uniform(rng);
    }
    gsl_rng_free(rng);
}

/* A drawn day with more services, and drains among its faults. */
void sim_plan_draw_drains(struct sim_plan *plan, unsigned long seed)
{
    static const char *const verbs[] = {"drain", "drain", "drain", "pause-drain", "cancel-drain"};
    sim_plan_draw(plan, seed);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!rng)
        abort();
    gsl_rng_set(rng, seed * 15485863 + 3);
    plan->drains = 1;
    plan->services = 12;
    plan->machines = 2 * SIM_PLAN_MACHINES;
    plan->budgets[0] = 1 + (uint32_t)gsl_rng_uniform_int(rng, 3);
    plan->budgets[1] = 1 + (uint32_t)gsl_rng_uniform_int(rng, 3);
    double at = 20;
    while (at < 130 && plan->nfaults < 60) {
        struct sim_fault *fault = &plan->faults[plan->nfaults++];
        const char *verb = verbs[gsl_rng_uniform_int(rng, 5)];
        snprintf(fault->verb, sizeof fault->verb, "%s", verb);
        fault->at = at;
        fault->a = strcmp(verb, "drain") == 0 ? 1 + floor(10 * gsl_rng_uniform(rng)) : 1;
        fault->b = gsl_rng_uniform(rng) < 0.5;
        if (strcmp(verb, "pause-drain") == 0) {
            struct sim_fault *back = &plan->faults[plan->nfaults++];
            *back = *fault;
            snprintf(back->verb, sizeof back->verb, "resume-drain");
            back->at = at + 10 * gsl_rng_uniform(rng);
        }
        at += 5 + 30 * gsl_rng_uniform(rng);
    }
    gsl_rng_free(rng);
}

static bool has_who(const char *verb)
{
    return strcmp(verb, "store-refuse") == 0 || strcmp(verb, "peer-cut") == 0 ||
           strcmp(verb, "crash") == 0 || strcmp(verb, "isolate") == 0 ||
           strcmp(verb, "refresh-fail") == 0 || strcmp(verb, "process-pause") == 0 ||
           strcmp(verb, "delay-sends") == 0;
}

/* False: the line names no setting of the day. */
static bool read_setting(struct sim_plan *plan, const char *line)
{
    char name[16], rest[128];
    double values[2] = {0};
    if (sscanf(line, "%15s %127[^\n]", name, rest) != 2)
        return false;
    size_t count = parse_numbers(rest, ' ', values, 2);
    if (count == 0)
        return false;
    if (strcmp(name, "one-task-jobs") == 0)
        plan->small = (int)values[0];
    else if (strcmp(name, "drains") == 0)
        plan->drains = (int)values[0];
    else if (strcmp(name, "machines") == 0)
        plan->machines = (int)values[0];
    else if (strcmp(name, "services") == 0)
        plan->services = (int)values[0];
    else if (strcmp(name, "jobs") == 0)
        plan->jobs = (int)values[0];
    else if (strcmp(name, "image-fetch-s") == 0)
        plan->fetch = values[0];
    else if (strcmp(name, "cancelled-share") == 0)
        plan->cancelled = values[0];
    else if (strcmp(name, "budget") == 0 && count == 2) {
        plan->budgets[0] = (uint32_t)values[0];
        plan->budgets[1] = (uint32_t)values[1];
    } else
        return false;
    return true;
}

/* `at SECONDS FAULT [WHO] NUMBERS`; false: the line is none. */
static bool read_trouble(struct sim_fault *fault, const char *line)
{
    static const char at[] = "at ";
    char rest[128] = "", amounts[128];
    double values[2] = {0};
    if (strncmp(line, at, strlen(at)) != 0)
        return false;
    char *end;
    fault->at = strtod(line + strlen(at), &end);
    if (end == line + strlen(at) || sscanf(end, "%15s %127[^\n]", fault->verb, rest) < 1)
        return false;
    if (has_who(fault->verb)) {
        bool is_whole = sscanf(rest, "%15s %127[^\n]", fault->who, amounts) == 2;
        return is_whole && parse_numbers(amounts, ' ', &fault->a, 1) == 1;
    }
    size_t count = parse_numbers(rest, ' ', values, 2);
    fault->a = values[0];
    fault->b = values[1];
    return count >= 1;
}

bool sim_plan_read(struct sim_plan *plan, const char *path)
{
    char line[256];
    int at_line = 0;
    FILE *file = fopen(path, "r");
    plain(plan, 40, 0.25);
    bool good = file != NULL;
    while (file && good && fgets(line, sizeof line, file)) {
        at_line++;
        if (line[0] == '#' || line[strspn(line, " \n")] == '\0')
            continue;
        if (read_setting(plan, line))
            continue;
        good = plan->nfaults < PLAN_FAULTS_MAX && read_trouble(&plan->faults[plan->nfaults], line);
        plan->nfaults++;
    }
    if (!good)
        fprintf(stderr, "%s:%d: not a day\n", path, at_line);
    if (file)
        (void)fclose(file);
    return good && plan->nfaults > 0;
}
