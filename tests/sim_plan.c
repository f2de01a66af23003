#include "sim_plan.h"
#include "numbers.h"
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES 3 /* by default */
#define IMAGE_FETCH_S 0.6
#define LAST_FAULT_S 130 /* drawn faults start before it */

static void init_plan(struct sim_plan *plan, int jobs, double cancelled)
{
    memset(plan, 0, sizeof *plan);
    plan->jobs = jobs;
    plan->cancelled_share = cancelled;
    plan->image_fetch_s = IMAGE_FETCH_S;
    plan->machines = SIM_PLAN_MACHINES;
    plan->services = SERVICES;
    plan->budgets[0] = plan->budgets[1] = 1;
}

/* Faults that take a share of the messages and a duration. */
static const char *const share_faults[] = {"late-writes",     "lost-answers",  "replay",
                                           "replay-failover", "late-commands", "late-cloud"};
/* Faults that take a number of machines and a duration. */
static const char *const machine_faults[] = {"hang",         "inbound-cut", "outbound-cut",   "cut",
                                             "cut-buffered", "die",         "machine-restart"};

static bool is_one_of(const char *kind, const char *const *kinds, size_t count)
{
    for (size_t i = 0; i < count; i++)
        if (strcmp(kind, kinds[i]) == 0)
            return true;
    return false;
}

void sim_plan_draw(struct sim_plan *plan, unsigned long seed)
{
    static const char *const kinds[] = {
        "store-outage",    "store-slow",   "store-refuse", "refresh-fail",   "late-writes",
        "lost-answers",    "peer-cut",     "zone-cut",     "delay-commands", "replay",
        "replay-failover", "hang",         "inbound-cut",  "outbound-cut",   "cut",
        "cut-buffered",    "die",          "crash",        "crash-all",      "cancel",
        "burst",           "isolate",      "crash",        "cancel",         "hang",
        "process-pause",   "process-pause"};
    const int nkinds = (int)(sizeof kinds / sizeof *kinds);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!rng)
        abort();
    gsl_rng_set(rng, seed * 104729 + 5);
    init_plan(plan, 45, 0.3);
    double at_s = 12;
    while (at_s < LAST_FAULT_S && plan->nfaults < 40) {
        struct sim_fault *fault = &plan->faults[plan->nfaults++];
        const char *kind = kinds[gsl_rng_uniform_int(rng, (unsigned long)nkinds)];
        double first_draw = gsl_rng_uniform(rng), second_draw = gsl_rng_uniform(rng);
        fault->at_s = at_s;
        snprintf(fault->kind, sizeof fault->kind, "%s", kind);
        snprintf(fault->node, sizeof fault->node, "%s", second_draw < 0.7 ? "leader" : "any");
        bool has_share = is_one_of(kind, share_faults, sizeof share_faults / sizeof *share_faults);
        bool is_machine_fault =
            is_one_of(kind, machine_faults, sizeof machine_faults / sizeof *machine_faults);
        fault->first_value = has_share          ? 0.1 + 0.6 * first_draw
                             : is_machine_fault ? 1 + floor(2 * first_draw)
                                                : 2 + 20 * first_draw;
        fault->second_value = has_share          ? 10 + 20 * second_draw
                              : is_machine_fault ? 1 + 14 * second_draw
                                                 : 0;
        if (strcmp(kind, "crash") == 0 || strcmp(kind, "crash-all") == 0)
            fault->first_value = second_draw < 0.5 ? 0.2 + first_draw : 2 + 3 * first_draw;
        if (strcmp(kind, "store-outage") == 0 && second_draw < 0.3)
            fault->first_value = 36 + 10 * first_draw;
        if (strcmp(kind, "cancel") == 0 || strcmp(kind, "burst") == 0)
            fault->first_value = 2 + floor(5 * first_draw);
        at_s += gsl_rng_uniform(rng) < 0.5 ? 3 * gsl_rng_uniform(rng) : 14 * gsl_rng_uniform(rng);
    }
    gsl_rng_free(rng);
}

void sim_plan_draw_delays(struct sim_plan *plan, unsigned long seed)
{
    static const char *const kinds[] = {"delay-sends", "delay-sends", "process-pause",
                                        "hang",        "cancel",      "burst"};
    sim_plan_draw(plan, seed);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!rng)
        abort();
    gsl_rng_set(rng, seed * 49979687 + 7);
    plan->cancelled_share = 0.5;
    plan->machines = 2 * SIM_PLAN_MACHINES;
    plan->image_fetch_s = gsl_rng_uniform(rng) < 0.5 ? 0.01 : IMAGE_FETCH_S;
    double at_s = 15;
    while (at_s < LAST_FAULT_S && plan->nfaults < 80) {
        struct sim_fault *fault = &plan->faults[plan->nfaults++];
        const char *kind = kinds[gsl_rng_uniform_int(rng, sizeof kinds / sizeof *kinds)];
        double draw = gsl_rng_uniform(rng);
        *fault = (struct sim_fault){.at_s = at_s};
        snprintf(fault->kind, sizeof fault->kind, "%s", kind);
        snprintf(fault->node, sizeof fault->node, "%s", draw < 0.8 ? "leader" : "any");
        fault->first_value = 2 + floor(5 * draw);
        if (strcmp(kind, "delay-sends") == 0)
            fault->first_value = 3 + 70 * gsl_rng_uniform(rng);
        else if (strcmp(kind, "process-pause") == 0)
            fault->first_value = 1 + 8 * draw;
        else if (strcmp(kind, "hang") == 0)
            fault->second_value = 1 + 14 * gsl_rng_uniform(rng);
        at_s += 2 + 12 * gsl_rng_uniform(rng);
    }
    gsl_rng_free(rng);
}

void sim_plan_draw_late(struct sim_plan *plan, unsigned long seed)
{
    static const char *const kinds[] = {"late-commands", "late-cloud",      "machine-restart",
                                        "cancel",        "machine-restart", "crash",
                                        "burst"};
    sim_plan_draw(plan, seed);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!rng)
        abort();
    gsl_rng_set(rng, seed * 15485863 + 13);
    plan->cancelled_share = 0.4;
    double at_s = 15;
    while (at_s < LAST_FAULT_S && plan->nfaults < 80) {
        struct sim_fault *fault = &plan->faults[plan->nfaults++];
        const char *kind = kinds[gsl_rng_uniform_int(rng, sizeof kinds / sizeof *kinds)];
        double draw = gsl_rng_uniform(rng);
        *fault =
            (struct sim_fault){.at_s = at_s, .node = "leader", .first_value = 1 + floor(4 * draw)};
        snprintf(fault->kind, sizeof fault->kind, "%s", kind);
        if (strcmp(kind, "late-commands") == 0 || strcmp(kind, "late-cloud") == 0) {
            fault->first_value = 0.2 + 0.6 * draw;
            fault->second_value = 5 + 20 * gsl_rng_uniform(rng);
        } else if (strcmp(kind, "machine-restart") == 0) {
            fault->second_value = 0.1 + 0.9 * gsl_rng_uniform(rng);
        } else if (strcmp(kind, "crash") == 0) {
            fault->first_value = 0.2 + 3 * draw;
        }
        at_s += 2 + 10 * gsl_rng_uniform(rng);
    }
    gsl_rng_free(rng);
}

void sim_plan_draw_arrays(struct sim_plan *plan, unsigned long seed)
{
    sim_plan_draw(plan, seed);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!rng)
        abort();
    gsl_rng_set(rng, seed * 32452843 + 11);
    plan->has_large_arrays = 1;
    double at_s = 15;
    while (at_s < LAST_FAULT_S && plan->nfaults < 60) {
        struct sim_fault *fault = &plan->faults[plan->nfaults++];
        *fault = (struct sim_fault){.at_s = at_s, .kind = "crash", .node = "leader"};
        fault->first_value = 0.2 + 3 * gsl_rng_uniform(rng);
        at_s += 5 + 20 * gsl_rng_uniform(rng);
    }
    gsl_rng_free(rng);
}

void sim_plan_draw_drains(struct sim_plan *plan, unsigned long seed)
{
    static const char *const kinds[] = {"drain", "drain", "drain", "pause-drain", "cancel-drain"};
    sim_plan_draw(plan, seed);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    if (!rng)
        abort();
    gsl_rng_set(rng, seed * 15485863 + 3);
    plan->has_drains = 1;
    plan->services = 12;
    plan->machines = 2 * SIM_PLAN_MACHINES;
    plan->budgets[0] = 1 + (uint32_t)gsl_rng_uniform_int(rng, 3);
    plan->budgets[1] = 1 + (uint32_t)gsl_rng_uniform_int(rng, 3);
    double at_s = 20;
    while (at_s < LAST_FAULT_S && plan->nfaults < 60) {
        struct sim_fault *fault = &plan->faults[plan->nfaults++];
        const char *kind = kinds[gsl_rng_uniform_int(rng, 5)];
        snprintf(fault->kind, sizeof fault->kind, "%s", kind);
        fault->at_s = at_s;
        fault->first_value = strcmp(kind, "drain") == 0 ? 1 + floor(10 * gsl_rng_uniform(rng)) : 1;
        fault->second_value = gsl_rng_uniform(rng) < 0.5;
        if (strcmp(kind, "pause-drain") == 0) {
            struct sim_fault *resume = &plan->faults[plan->nfaults++];
            *resume = *fault;
            snprintf(resume->kind, sizeof resume->kind, "resume-drain");
            resume->at_s = at_s + 10 * gsl_rng_uniform(rng);
        }
        at_s += 5 + 30 * gsl_rng_uniform(rng);
    }
    gsl_rng_free(rng);
}

static bool takes_node(const char *kind)
{
    return strcmp(kind, "store-refuse") == 0 || strcmp(kind, "peer-cut") == 0 ||
           strcmp(kind, "crash") == 0 || strcmp(kind, "isolate") == 0 ||
           strcmp(kind, "refresh-fail") == 0 || strcmp(kind, "process-pause") == 0 ||
           strcmp(kind, "drains-unread") == 0 || strcmp(kind, "delay-sends") == 0;
}

/* Returns false if the line is not a setting of the day. */
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
        plan->has_one_task_jobs = (int)values[0];
    else if (strcmp(name, "large-arrays") == 0)
        plan->has_large_arrays = (int)values[0];
    else if (strcmp(name, "odd-spellings") == 0)
        plan->has_odd_spellings = (int)values[0];
    else if (strcmp(name, "drains") == 0)
        plan->has_drains = (int)values[0];
    else if (strcmp(name, "machines") == 0)
        plan->machines = (int)values[0];
    else if (strcmp(name, "services") == 0)
        plan->services = (int)values[0];
    else if (strcmp(name, "jobs") == 0)
        plan->jobs = (int)values[0];
    else if (strcmp(name, "image-fetch-s") == 0)
        plan->image_fetch_s = values[0];
    else if (strcmp(name, "cancelled-share") == 0)
        plan->cancelled_share = values[0];
    else if (strcmp(name, "budget") == 0 && count == 2) {
        plan->budgets[0] = (uint32_t)values[0];
        plan->budgets[1] = (uint32_t)values[1];
    } else
        return false;
    return true;
}

/* Guards against a misspelt fault, which would be played as another one. */
static bool is_known_fault(const char *kind)
{
    static const char *const other_faults[] = {
        "store-outage", "store-slow",    "store-refuse", "refresh-fail",   "drains-unread",
        "peer-cut",     "isolate",       "zone-cut",     "delay-commands", "crash",
        "crash-all",    "process-pause", "delay-sends",  "cancel",         "burst",
        "drain",        "pause-drain",   "resume-drain", "cancel-drain"};
    return is_one_of(kind, other_faults, sizeof other_faults / sizeof *other_faults) ||
           is_one_of(kind, share_faults, sizeof share_faults / sizeof *share_faults) ||
           is_one_of(kind, machine_faults, sizeof machine_faults / sizeof *machine_faults);
}

/* Reads `at SECONDS FAULT [NODE] NUMBERS`. Returns false if the line is not a fault. */
static bool read_fault(struct sim_fault *fault, const char *line)
{
    static const char at[] = "at ";
    char rest[128] = "", values_text[128];
    double values[2] = {0};
    if (strncmp(line, at, strlen(at)) != 0)
        return false;
    char *end;
    fault->at_s = strtod(line + strlen(at), &end);
    if (end == line + strlen(at) || sscanf(end, "%15s %127[^\n]", fault->kind, rest) < 1 ||
        !is_known_fault(fault->kind))
        return false;
    if (takes_node(fault->kind)) {
        bool has_both = sscanf(rest, "%15s %127[^\n]", fault->node, values_text) == 2;
        return has_both && parse_numbers(values_text, ' ', &fault->first_value, 1) == 1;
    }
    size_t count = parse_numbers(rest, ' ', values, 2);
    fault->first_value = values[0];
    fault->second_value = values[1];
    return count >= 1;
}

bool sim_plan_read(struct sim_plan *plan, const char *path)
{
    char line[256] = "";
    int line_number = 0;
    FILE *file = fopen(path, "r");
    init_plan(plan, 40, 0.25);
    bool is_valid = file != NULL;
    while (file && is_valid && fgets(line, sizeof line, file)) {
        line_number++;
        if (line[0] == '#' || line[strspn(line, " \n")] == '\0')
            continue;
        if (read_setting(plan, line))
            continue;
        is_valid =
            plan->nfaults < PLAN_FAULTS_MAX && read_fault(&plan->faults[plan->nfaults], line);
        plan->nfaults++;
    }
    if (!is_valid)
        fprintf(stderr, "%s:%d: neither a setting nor a fault of a simulated day: %s\n", path,
                line_number, line);
    if (file)
        (void)fclose(file);
    return is_valid && plan->nfaults > 0;
}
