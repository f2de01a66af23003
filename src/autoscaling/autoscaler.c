/* The machines: what the cloud lists, what is rented and what goes back. */
#include "autoscaling/autoscaler_internal.h"
#include "autoscaling/autoscaling.h"
#include "base/timeutil.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "jobs/jobs.h"
#include "model/core_state.h"
#include "model/effect.h"
#include "model/machine.h"
#include "model/task.h"
#include "model/task_state.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include "workers/workers.h"
#include <gsl/gsl_cdf.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#define BOOT_PATIENCE 2.5 /* times the usual boot time before a machine is given up */
#define BOOT_EXTRA_S 12.0
#define BOOT_HOPE 1.6 /* ... before it is no longer counted on */
#define RETURN_MAX 100
#define PROVISIONS_OPEN 3 /* requests under way at once */
#define DEAD_EXTRA_S 15.0
#define FIXED_PENALTY 2.0 /* ordinary machines are left to work that may not use spot */
#define CLASSES 32
#define WINDOW_S 150.0 /* in which arrivals are counted */
#define WINDOW_MIN_S 12.0
#define SETTLE_S 4.0
#define SUMMARY_S 20.0

/* ---- demand ---- */

struct bin { /* a machine that is not up yet, would have to be rented, or has free room */
    int type, zone;
    bool spot, wanted;
    struct bd_machine *machine;
    double cpus, gpus, mem;
};

struct demand {
    struct bd_core *core;
    struct bin *bins;
    int n, cap;
    double zone_use[BD_MAX_ZONES]; /* machines there */
    double team_cpus[BD_MAX_TEAMS], team_gpus[BD_MAX_TEAMS];
};

/* The bins move when they grow: no pointer into them may be kept. */
static struct bin *add_bin(struct demand *d, int type, int zone, bool spot, bool wanted)
{
    if (d->n == d->cap) {
        int cap = d->cap ? d->cap * 2 : 256;
        struct bin *b = realloc(d->bins, (size_t)cap * sizeof *b);
        if (!b)
            abort();
        d->bins = b;
        d->cap = cap;
    }
    const struct bd_type *t = &d->core->types[type];
    d->bins[d->n] = (struct bin){type, zone, spot, wanted, NULL, t->cpus, t->gpus, t->mem};
    return &d->bins[d->n++];
}

static bool booting(const struct bd_core *core, const struct bd_machine *machine)
{
    return !machine->gone && !machine->scaling_in && !machine->failed && !machine->incarnation &&
           machine->type >= 0 && machine->zone >= 0 && core->types[machine->type].known;
}

static double machine_age(const struct bd_core *core, const struct bd_machine *machine)
{
    return machine->age_at_known + bd_between(machine->age_known, core->now);
}

static void bins_coming(struct demand *d)
{
    struct bd_core *core = d->core;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (booting(core, machine) &&
            machine_age(core, machine) < BOOT_HOPE * core->types[machine->type].boot + BOOT_EXTRA_S)
            (void)add_bin(d, machine->type, machine->zone, machine->spot, false);
    }
    for (int k = 0; k < core->cloud.nprovision_requests; k++)
        for (int i = 0; i < core->cloud.provision_requests[k].count; i++)
            (void)add_bin(d, core->cloud.provision_requests[k].type,
                          core->cloud.provision_requests[k].zone,
                          core->cloud.provision_requests[k].spot, false);
}

static bool bin_fits(const struct bin *b, const struct bd_spec *spec)
{
    return spec->cpus <= b->cpus + 1e-9 && spec->gpus <= b->gpus + 1e-9 &&
           spec->mem <= b->mem + 1e-9;
}

static void bin_take(struct bin *b, const struct bd_spec *spec)
{
    b->cpus -= spec->cpus;
    b->gpus -= spec->gpus;
    b->mem -= spec->mem;
}

static void count_zones(struct demand *d)
{
    for (uint32_t i = 0; i < d->core->nmachines; i++) {
        const struct bd_machine *machine = d->core->by_index[i];
        if (!machine->gone && machine->zone >= 0)
            d->zone_use[machine->zone]++;
    }
}

/* The cheapest kind of machine for `left` more tasks, or false. */
static bool choose(struct demand *d, const struct bd_spec *spec, uint32_t left,
                   enum bd_cost_tier cost_tier, int *type, int *zone, bool *spot)
{
    struct bd_core *core = d->core;
    double low = INFINITY;
    for (int t = 0; t < core->ntypes; t++) {
        if (!core->types[t].known)
            continue;
        int n = bd_tasks_per_machine(&core->types[t], spec);
        if (n < 1)
            continue;
        n = (uint32_t)n < left ? n : (int)left;
        for (int z = 0; z < core->nzones; z++) {
            for (int sp = 0; sp < 2; sp++) {
                if (!(core->types[t].zones >> z & 1) || !bd_allowed(spec, t, z, sp) ||
                    !bd_within_cost_tier(core, spec, cost_tier, t, sp) ||
                    bd_before(core->now, core->cloud.pools[t][z][sp].refuse_until))
                    continue;
                double v = (sp ? core->types[t].spot_price : core->types[t].price) / n;
                if (spec->spot && !sp)
                    v *= FIXED_PENALTY;
                v *= 1 + 1e-6 * d->zone_use[z]; /* the emptier zone of equals */
                if (v < low - 1e-12) {
                    low = v;
                    *type = t;
                    *zone = z;
                    *spot = sp;
                }
            }
        }
    }
    return low < INFINITY;
}

static uint32_t under_quota(struct demand *d, const struct bd_spec *spec, uint32_t n)
{
    n = bd_team_free_quota(&d->core->settings->teams[spec->team], d->team_cpus[spec->team],
                           d->team_gpus[spec->team], spec, n);
    d->team_cpus[spec->team] += n * spec->cpus;
    d->team_gpus[spec->team] += n * spec->gpus;
    return n;
}

/* Finds n tasks room within the reach, in what is there or coming and then in what can be rented;
 * returns for how many there was none. */
static uint32_t want_within(struct demand *d, const struct bd_spec *spec, uint32_t n,
                            enum bd_cost_tier cost_tier)
{
    int type = 0, zone = 0;
    bool spot = false, in[BD_MAX_TYPES][2] = {{false}};
    for (int t = 0; t < d->core->ntypes; t++)
        for (int sp = 0; sp < 2; sp++)
            in[t][sp] = bd_within_cost_tier(d->core, spec, cost_tier, t, sp);
    for (int i = 0; i < d->n && n > 0; i++) {
        struct bin *b = &d->bins[i];
        while (n > 0 && in[b->type][b->spot] && bin_fits(b, spec) &&
               bd_allowed(spec, b->type, b->zone, b->spot)) {
            bin_take(b, spec);
            n--;
            if (b->machine)
                b->machine->headroom = true;
        }
    }
    while (n > 0 && choose(d, spec, n, cost_tier, &type, &zone, &spot)) {
        struct bin *b = add_bin(d, type, zone, spot, true);
        while (n > 0 && bin_fits(b, spec)) {
            bin_take(b, spec);
            n--;
        }
    }
    return n;
}

/* A job that may have a dear place by now still gets a cheap one rented where there is one: dear
 * machines on their way are for work that needs them. */
static void want_job(struct demand *d, const struct bd_spec *spec, uint32_t n,
                     enum bd_cost_tier cost_tier)
{
    if (cost_tier == BD_TIER_ANY)
        n = want_within(d, spec, n, BD_TIER_CHEAP);
    (void)want_within(d, spec, n, cost_tier);
}

/* ---- spare room, from the aims and what arrives ---- */

struct job_class {
    int id;
    struct bd_spec spec; /* of its newest job that is described */
    uint32_t jobs, tasks, arrived;
    double estimate, at, image_gb;
};

static struct job_class *class_of(struct job_class *k, int *n, int id)
{
    for (int i = 0; i < *n; i++)
        if (k[i].id == id)
            return &k[i];
    if (*n == CLASSES)
        return NULL;
    memset(&k[*n], 0, sizeof *k);
    k[*n].id = id;
    return &k[(*n)++];
}

/* When the window in which arrivals are counted began: what was there at the very start of the
 * service came at once and says nothing of the rate. */
static double window_start(const struct bd_core *core)
{
    double first = INFINITY;
    for (struct bd_job *job = core->jobs; job; job = job->hh.next)
        first = fmin(first, job->at);
    return fmax(first + SETTLE_S, core->wall - WINDOW_S);
}

static void count_job(struct job_class *f, const struct bd_job *job, double from)
{
    if (bd_job_has_open_parents(job))
        return;
    f->arrived += job->ready >= from;
    if (!job->has_spec)
        return;
    f->jobs++;
    f->tasks += job->ntasks;
    f->estimate += job->spec.estimate;
    f->image_gb += job->spec.image_gb;
    if (job->at >= f->at) {
        f->at = job->at;
        f->spec = job->spec;
    }
}

static int arrivals(struct bd_core *core, struct job_class *k, double from)
{
    int n = 0;
    for (struct bd_job *job = core->jobs; job; job = job->hh.next) {
        if (job->job_class < 0 || core->wall - job->ready > 2 * WINDOW_S)
            continue;
        struct job_class *f = class_of(k, &n, job->job_class);
        if (f)
            count_job(f, job, from);
        else if (!core->lead.classes_said)
            bd_log_write(core->log, BD_LOG_ERROR, "more than %d classes: the rest gets no headroom",
                         CLASSES);
        core->lead.classes_said |= !f;
    }
    return n;
}

/* Slots to keep free for a class: what arrives before a rented machine would be ready, as far as
 * the aims' shares ask for it. */
static uint32_t spare_slots(struct demand *d, const struct job_class *k, double window)
{
    struct bd_core *core = d->core;
    int type = 0, zone = 0;
    bool spot = false;
    double most = 0, per_job = (double)k->tasks / k->jobs;
    if (!choose(d, &k->spec, (uint32_t)ceil(per_job), BD_TIER_ANY, &type, &zone, &spot))
        return 0;
    double lead = core->types[type].boot + k->image_gb / k->jobs / core->types[type].fetch;
    for (int i = 0; i < core->settings->nslos; i++) {
        const struct bd_slo *a = &core->settings->slos[i];
        double wait = bd_slo_slack(core, k->id, k->estimate / k->jobs, a);
        if (wait < 0 || wait >= lead)
            continue;
        double z = gsl_cdf_ugaussian_Pinv(fmin(0.995, (1 + a->share) / 2));
        most = fmax(most, z * sqrt(2 * k->arrived / window * lead) * per_job);
    }
    return (uint32_t)ceil(most * core->settings->headroom_share);
}

static void bins_free(struct demand *d, bool idle)
{
    struct bd_core *core = d->core;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (!bd_machine_usable(core, machine) || (machine->nreservations == 0) != idle)
            continue;
        struct bin *b = add_bin(d, machine->type, machine->zone, machine->spot, false);
        b->machine = machine;
        b->cpus -= machine->cpus;
        b->gpus -= machine->gpus;
        b->mem -= machine->mem;
    }
}

static void want_spares(struct demand *d)
{
    struct job_class k[CLASSES];
    double from = window_start(d->core), window = d->core->wall - from;
    if (window < WINDOW_MIN_S)
        return;
    int n = arrivals(d->core, k, from);
    bins_free(d, false);
    bins_free(d, true);
    for (int gpus = 1; gpus >= 0; gpus--)
        for (int i = 0; i < n; i++)
            if (k[i].jobs && (k[i].spec.gpus > 0) == (gpus > 0) && k[i].spec.team >= 0)
                want_job(d, &k[i].spec, spare_slots(d, &k[i], window), BD_TIER_ANY);
}

/* Cheap room for the services on dear machines: nothing waits for it, so that no demand shows. */
static void want_cheap_room(struct demand *d)
{
    struct bd_core *core = d->core;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        double held;
        if (machine->gone || !bd_machine_usable(core, machine) ||
            !bd_only_services(core, machine, &held))
            continue;
        for (uint32_t k = 0; k < machine->nreservations; k++)
            if (machine->reservations[k].job->spec.kind == BD_JOB_SERVICE &&
                machine->reservations[k].job->state == BD_JOB_ACTIVE)
                want_job(d, &machine->reservations[k].job->spec, 1, BD_TIER_CHEAP);
    }
}

static void want_moved(void *arg, const struct bd_spec *spec)
{
    want_job(arg, spec, 1, BD_TIER_ANY);
}

static void provision_wanted(struct demand *d)
{
    struct bd_core *core = d->core;
    for (int i = 0; i < d->n && core->cloud.nprovision_requests < PROVISIONS_OPEN; i++) {
        struct bin *w = &d->bins[i];
        /* what a market has that was asked already is about to be known */
        if (!w->wanted || bd_pool_of(core, w->type, w->zone, w->spot)->asked)
            continue;
        int count = 0;
        struct bin b = d->bins[i];
        for (int k = i; k < d->n; k++) {
            struct bin *o = &d->bins[k];
            if (o->wanted && o->type == b.type && o->zone == b.zone && o->spot == b.spot) {
                o->wanted = false;
                count++;
            }
        }
        bd_provision_request(core, b.type, b.zone, b.spot, count);
    }
}

static void provision_for_demand(struct bd_core *core)
{
    struct demand *d = calloc(1, sizeof *d);
    struct bd_job **jobs;
    if (!d)
        return;
    d->core = core;
    count_zones(d);
    memcpy(d->team_cpus, core->team_cpus, sizeof d->team_cpus);
    memcpy(d->team_gpus, core->team_gpus, sizeof d->team_gpus);
    bins_coming(d);
    uint32_t n = bd_jobs_in_order(core, &jobs);
    for (uint32_t i = 0; i < n; i++)
        if (jobs[i]->npending > 0 && bd_before(jobs[i]->hold_until, core->now))
            want_job(d, &jobs[i]->spec, under_quota(d, &jobs[i]->spec, jobs[i]->npending),
                     bd_cost_tier_of(core, jobs[i]));
    free(jobs);
    for (uint32_t i = 0; i < core->nmachines; i++)
        core->by_index[i]->headroom = false;
    want_spares(d);
    want_cheap_room(d);
    bd_drain_demand(core, want_moved, d);
    provision_wanted(d);
    free(d->bins);
    free(d);
}

/* ---- returns ---- */

static bool boot_given_up(const struct bd_core *core, const struct bd_machine *machine)
{
    return booting(core, machine) && machine->nreservations == 0 &&
           machine_age(core, machine) >
               BOOT_PATIENCE * core->types[machine->type].boot + BOOT_EXTRA_S;
}

static bool dead(const struct bd_core *core, const struct bd_machine *machine)
{
    return machine->incarnation && machine->nreservations == 0 && !machine->fenced &&
           bd_between(machine->heard, core->now) > bd_to_secs(core->settings->lease) + DEAD_EXTRA_S;
}

/* A machine is kept idle for about as long as getting it again would take. */
static bool wants_return(struct bd_core *core, struct bd_machine *machine)
{
    if (machine->gone || bd_before(core->now, machine->scale_in_not_before))
        return false;
    if (machine->scaling_in || machine->failed)
        return true;
    if (machine->nreservations > 0)
        return false;
    if (boot_given_up(core, machine) || dead(core, machine))
        return true;
    if (!machine->fenced)
        return false;
    if (bd_drain_cordoned(core, machine))
        return bd_drain_returns(core, machine);
    if (bd_drain_keeps(core, machine))
        return false;
    return machine->quarantined || machine->notice_left >= 0 ||
           (!machine->headroom && bd_between(machine->idle_since, core->now) >
                                      core->settings->idle_boots * core->types[machine->type].boot);
}

static void return_machines(struct bd_core *core)
{
    char names[RETURN_MAX][BD_LABEL];
    int n = 0;
    for (uint32_t i = 0; i < core->nmachines && n < RETURN_MAX; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (!wants_return(core, machine))
            continue;
        machine->scaling_in = true;
        machine->scale_in_not_before = bd_add(core->now, bd_secs(6.0));
        snprintf(names[n++], BD_LABEL, "%s", machine->id);
        bd_log_write(core->log, BD_LOG_INFO, "%s is scaled in%s", machine->id,
                     machine->quarantined ? " (faulty)" : "");
    }
    if (n == 0)
        return;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_SCALE_IN);
    effect->body = bd_wire_return(names, n);
}

/* Tasks that can save leave a machine that the cloud takes back or that fails its tasks. */
static void evacuate(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        bd_machine_detect_slow(core, machine);
        if (machine->gone || (machine->notice_left < 0 && !machine->quarantined))
            continue;
        for (uint32_t k = machine->nreservations; k > 0; k--) {
            if (k > machine->nreservations)
                continue;
            struct bd_reservation r = machine->reservations[k - 1];
            struct bd_task *task = &r.job->tasks[r.task];
            if ((task->state == BD_TASK_CONFIRMED || task->state == BD_TASK_LAUNCHING) &&
                !(task->flags & BD_TASK_FLAG_STOP_REQUESTED) &&
                (r.job->spec.checkpoint_interval_s > 0 || machine->quarantined))
                bd_task_stop(core, r.job, r.task, BD_STOP_EVACUATED, false);
        }
    }
}

/* What a machine is kept busy with, the dearest kind of work first. */
enum use { USE_COMING, USE_GPU, USE_SERVICES, USE_ARRAYS, USE_IDLE, USES };

static enum use use_of(const struct bd_machine *machine)
{
    enum use u = machine->incarnation ? USE_IDLE : USE_COMING;
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        const struct bd_spec *spec = &machine->reservations[k].job->spec;
        enum use v = spec->gpus > 0                 ? USE_GPU
                     : spec->kind == BD_JOB_SERVICE ? USE_SERVICES
                                                    : USE_ARRAYS;
        u = u == USE_COMING || v < u ? v : u;
    }
    return u;
}

static void say_kind(struct bd_core *core, int t, bool spot)
{
    uint32_t n[USES] = {0}, up = 0;
    double cpus = 0, gpus = 0;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        const struct bd_machine *machine = core->by_index[i];
        if (machine->gone || machine->type != t || machine->spot != spot)
            continue;
        n[use_of(machine)]++;
        up += machine->incarnation != 0;
        cpus += machine->cpus;
        gpus += machine->gpus;
    }
    if (up + n[USE_COMING] == 0)
        return;
    bd_log_write(
        core->log, BD_LOG_INFO,
        "fleet %s%s: %u up, %u coming, %u idle; %u with gpu work, %u with services, %u with "
        "arrays; in use %.0f of %.0f cpus, %.0f of %.0f gpus",
        core->types[t].label, spot ? " (spot)" : "", up, n[USE_COMING], n[USE_IDLE], n[USE_GPU],
        n[USE_SERVICES], n[USE_ARRAYS], cpus, up * core->types[t].cpus, gpus,
        up * core->types[t].gpus);
}

/* A line a type and kind, for whoever asks what the money is spent on. */
static void say_fleet(struct bd_core *core)
{
    if (bd_before(core->now, core->lead.next_summary))
        return;
    core->lead.next_summary = bd_add(core->now, bd_secs(SUMMARY_S));
    for (int t = 0; t < core->ntypes; t++) {
        say_kind(core, t, false);
        say_kind(core, t, true);
    }
}

void bd_autoscaler_tick(struct bd_core *core)
{
    say_fleet(core);
    evacuate(core);
    if (!core->lead.inventory_read)
        return;
    provision_for_demand(core);
    bd_consolidate(core);
    return_machines(core);
}