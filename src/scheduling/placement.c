/* Placement: which waiting tasks go where. Like tasks of a job are decided as a class. */
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "jobs/jobs.h"
#include "leadership/commit.h"
#include "model/core_state.h"
#include "model/kv_limits.h"
#include "model/machine.h"
#include "model/resources.h"
#include "model/task.h"
#include "model/task_state.h"
#include "scheduling/placement_internal.h"
#include "scheduling/scheduling.h"
#include "wire/wire.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* named defaults: the weights of a choice, in seconds of later start */
#define COST_GPU_WASTE 200.0      /* work without GPUs on a machine that has some */
#define COST_KEEPS_EXPENSIVE 30.0 /* a dear machine that would go back otherwise */
#define COST_LEFTOVER 5.0         /* the whole machine left free after the placement */
#define COST_NOT_SPOT 20.0        /* work that may use spot, on an ordinary machine */
#define NOT_SPOT_SHARE 0.2        /* ... but no more than this of the time that its aims leave */
#define COST_SPOT_LOST 8.0        /* what a due time may lose by a spot machine that is taken */
#define DEADLINE_URGENT_S 8.0     /* less than this until the start that a due time needs */
#define HURRY_S 30.0              /* less than this to spare */
#define WORTH_MOVING_S 12.0       /* a fetch longer than this is worth stopping borrowed work */
#define QUICK_S 0.5               /* a fetch that nobody minds */
#define FORCE_AGAIN_S 0.5         /* a job that nothing can be stopped for asks again after this */
#define HOLD_AFTER_S 10.0         /* a gang waits so long before room is held and made for it */

/* Free room that is not kept for a task whose place is being vacated. */
struct bd_resources bd_unclaimed_capacity(const struct placement_cycle *r,
                                          const struct bd_machine *machine)
{
    struct bd_resources capacity = bd_machine_free(r->core, machine),
                        held = r->claimed[machine->index];
    return (struct bd_resources){capacity.cpus - held.cpus, capacity.gpus - held.gpus,
                                 capacity.mem - held.mem};
}

bool bd_type_allowed(const struct bd_spec *spec, int type)
{
    return spec->any_type || (spec->types >> type & 1);
}

bool bd_allowed(const struct bd_spec *spec, int type, int zone, bool spot)
{
    return bd_type_allowed(spec, type) && (spec->zone < 0 || spec->zone == zone) &&
           (spec->spot || !spot);
}

uint32_t bd_team_free_quota(const struct bd_team_quota *team, double cpus, double gpus,
                            const struct bd_spec *spec, uint32_t most)
{
    if (team->cpus_quota > 0)
        most = bd_amount_fits(team->cpus_quota - cpus, spec->cpus, most);
    if (team->gpus_quota > 0)
        most = bd_amount_fits(team->gpus_quota - gpus, spec->gpus, most);
    return most;
}

static uint32_t quota_left(const struct bd_core *core, const struct bd_spec *spec, uint32_t most)
{
    int team = spec->team;
    return bd_team_free_quota(&core->settings->teams[team], core->team_cpus[team],
                              core->team_gpus[team], spec, most);
}

/* Tasks of the job per zone, counting all that hold a place, unknown and stopping ones too. */
void bd_zone_counts(struct bd_core *core, const struct bd_job *job, uint32_t *n)
{
    memset(n, 0, BD_MAX_ZONES * sizeof *n);
    if (!job->spec.same_zone && !job->spec.spread_zones)
        return;
    for (uint32_t i = 0; i < job->ntasks; i++) {
        struct bd_machine *machine = bd_machine_of(core, job->tasks[i].machine);
        if (machine && machine->zone >= 0)
            n[machine->zone]++;
        else if (machine) /* where it is cannot be told: it may be in any zone */
            for (int z = 0; z < core->nzones; z++)
                n[z]++;
    }
}

uint32_t bd_zone_left(const struct bd_core *core, const struct bd_job *job, const uint32_t *n,
                      int z, uint32_t most)
{
    if (job->spec.same_zone)
        for (int k = 0; k < core->nzones; k++)
            if (k != z && n[k] > 0)
                return 0;
    if (job->spec.spread_zones) {
        uint32_t half = (job->ntasks + 1) / 2;
        uint32_t left = n[z] >= half ? 0 : half - n[z];
        return left < most ? left : most;
    }
    return most;
}

/* How many tasks may come here, up to `most`, without taking room that a GPU task could have, now
 * or once the arrays here have ended: together they may only use what GPU work must leave anyway.
 */
static uint32_t harmless(const struct bd_core *core, const struct bd_spec *spec,
                         const struct bd_machine *machine, uint32_t most)
{
    const struct bd_spec *g = &core->cloud.gpu_wanted[machine->type][machine->spot];
    const struct bd_type *type = &core->types[machine->type];
    if (spec->gpus > 0 || g->gpus <= 0)
        return most;
    struct bd_resources r = {type->cpus - machine->pinned_cpus, type->gpus - machine->pinned_gpus,
                             type->mem - machine->pinned_mem};
    uint32_t gpu_tasks = bd_resources_fit(r, g, 64);
    if (gpu_tasks == 0) /* services alone keep GPU work away: they are to move together here */
        return machine->gpus > 0 || spec->kind == BD_JOB_SERVICE ? most : 0;
    struct bd_resources left = {type->cpus - machine->cpus - gpu_tasks * g->cpus, 0,
                                type->mem - machine->mem - gpu_tasks * g->mem};
    return left.cpus < 0 || left.mem < 0 ? 0 : bd_resources_fit(left, spec, most);
}

/* Whether it is known what GPU work could do here: before any has come, nothing is harmless. */
static bool known_use(const struct bd_core *core, const struct bd_machine *machine)
{
    return core->types[machine->type].gpus <= 0 ||
           core->cloud.gpu_wanted[machine->type][machine->spot].gpus > 0 ||
           machine->pinned_cpus > 0;
}

/* As bd_fetch_s, with what the round has planned there already. */
static double fetch_s(const struct placement_cycle *r, const struct bd_machine *machine,
                      const struct bd_spec *spec)
{
    double v = bd_fetch_s(r->core, machine, spec);
    return v > 0 && !bd_has_image(machine, spec->image) ? v + r->fetch[machine->index] : v;
}

double bd_place_cost(const struct placement_cycle *d, const struct bd_spec *spec,
                     const struct bd_machine *machine, struct bd_resources r, bool harm)
{
    const struct bd_core *core = d->core;
    const struct bd_type *type = &core->types[machine->type];
    double left = type->cpus > 0 ? (r.cpus - spec->cpus) / type->cpus : 0;
    if (spec->gpus > 0 && type->gpus > 0)
        left = (r.gpus - spec->gpus) / type->gpus;
    double v = left * COST_LEFTOVER;
    if (harm)
        v += COST_GPU_WASTE;
    v += fetch_s(d, machine, spec);
    if (spec->spot && !machine->spot)
        v += d->not_spot;
    if (machine->spot)
        v += d->spot_lost;
    return v;
}

bool bd_zone_open(const struct placement_cycle *r, const struct bd_machine *machine)
{
    return r->only_zone < 0 || r->only_zone == machine->zone;
}

/* Whether the task could begin there at once, as far as its image goes. */
bool bd_quick_there(const struct bd_core *core, const struct bd_spec *spec,
                    const struct bd_machine *machine)
{
    return bd_fetch_s(core, machine, spec) < QUICK_S;
}

/* Whether work that could go elsewhere would keep a dear machine from going back: nothing else
 * does, and it is not kept for work that is expected. One short task in each of many such machines
 * costs more than all that runs there is worth. */
static bool keeps_dear(const struct placement_cycle *r, const struct bd_spec *spec,
                       const struct bd_machine *machine)
{
    return spec->gpus <= 0 && spec->kind == BD_JOB_ARRAY &&
           r->expensive[machine->type][machine->spot] && machine->pinned_cpus <= 0 &&
           machine->pinned_gpus <= 0 && !machine->headroom;
}

static struct bd_machine *best(struct placement_cycle *r, const struct bd_job *job,
                               const uint32_t *zones, bool any_price, bool may_harm)
{
    struct bd_core *core = r->core;
    struct bd_machine *found = NULL;
    double low = INFINITY;
    for (uint32_t i = 0; i < core->nmachines; i++) {
        struct bd_machine *machine = core->by_index[i];
        if (!r->open[i] || !bd_zone_open(r, machine) ||
            !bd_allowed(&job->spec, machine->type, machine->zone, machine->spot))
            continue;
        if (r->quick && !bd_quick_there(core, &job->spec, machine))
            continue;
        struct bd_resources capacity = bd_unclaimed_capacity(r, machine);
        if (!bd_resources_fit(capacity, &job->spec, 1) ||
            !bd_zone_left(core, job, zones, machine->zone, 1))
            continue;
        bool harm = harmless(core, &job->spec, machine, 1) == 0;
        if (harm && !may_harm)
            continue;
        /* a dear machine that GPU work cannot use anyway is as good as a cheap one */
        if (!any_price && r->expensive[machine->type][machine->spot] &&
            (harm || !known_use(core, machine)))
            continue;
        bool keeps = keeps_dear(r, &job->spec, machine);
        if (keeps && !any_price)
            continue;
        double v = bd_place_cost(r, &job->spec, machine, capacity, harm) +
                   (keeps ? COST_KEEPS_EXPENSIVE : 0);
        if (v < low) {
            low = v;
            found = machine;
        }
    }
    return found;
}

static void plan(struct placement_cycle *r, struct bd_job *job, uint32_t i,
                 struct bd_machine *machine, uint64_t attempt)
{
    struct bd_commit *commit = r->k;
    if (commit->nplan == commit->cap) {
        uint32_t cap = commit->cap ? commit->cap * 2 : 32;
        struct bd_intent *p = realloc(commit->plan, cap * sizeof *p);
        if (!p)
            abort();
        commit->plan = p;
        commit->cap = cap;
    }
    bd_task_assign(r->core, job, i, machine, attempt, BD_TASK_PLANNED);
    commit->plan[commit->nplan++] = (struct bd_intent){job, i, machine->index, attempt};
}

/* How many tasks of the job on the machine the round's records still take. A record's end may leave
 * a group's worth unused: that much is kept back for each. */
static uint32_t record_room(const struct placement_cycle *r, const struct bd_job *job,
                            const struct bd_machine *machine, uint32_t most)
{
    size_t head = bd_group_bytes(job, machine);
    if (r->bytes + head + BD_TASK_BYTES > r->most_bytes)
        return 0;
    size_t n = (r->most_bytes - r->bytes - head) / BD_TASK_BYTES;
    return n < most ? (uint32_t)n : most;
}

/* Places up to `most` waiting tasks of the job; returns how many found a place. */
static uint32_t fill(struct placement_cycle *r, struct bd_job *job, uint32_t most, uint64_t attempt,
                     bool may_harm)
{
    uint32_t zones[BD_MAX_ZONES], placed = 0, next = 0;
    /* only what is rented waits for spot: a machine that is there costs the same idle */
    bool any_price = bd_cost_tier_of(r->core, job) == BD_TIER_ANY;
    bd_zone_counts(r->core, job, zones);
    while (placed < most) {
        struct bd_machine *machine = best(r, job, zones, any_price, may_harm);
        if (!machine)
            break;
        struct bd_resources capacity = bd_unclaimed_capacity(r, machine);
        uint32_t n = bd_resources_fit(capacity, &job->spec, most - placed),
                 kind = harmless(r->core, &job->spec, machine, n);
        if (kind > 0) /* the next ones may do better elsewhere */
            n = kind;
        n = record_room(r, job, machine, bd_zone_left(r->core, job, zones, machine->zone, n));
        if (n == 0)
            break;
        if (!bd_has_image(machine, job->spec.image))
            r->fetch[machine->index] += job->spec.image_gb / r->core->types[machine->type].fetch;
        r->bytes += bd_group_bytes(job, machine) + (size_t)n * BD_TASK_BYTES;
        for (; n > 0 && next < job->ntasks; next++) {
            if (job->tasks[next].state != BD_TASK_PENDING)
                continue;
            plan(r, job, next, machine, attempt);
            zones[machine->zone]++;
            placed++;
            n--;
        }
    }
    return placed;
}

static void unplan(struct placement_cycle *r, uint32_t from)
{
    for (uint32_t i = from; i < r->k->nplan; i++)
        bd_task_release(r->core, r->k->plan[i].job, r->k->plan[i].task,
                        BD_RELEASE_INTENT_NOT_COMMITTED);
    r->k->nplan = from;
}

/* A job within its guarantee need not wait for a long fetch while its image lies on a machine that
 * another team uses beyond its own guarantee: true if such a machine is being vacated for it. */
static bool waits_for_image(struct placement_cycle *r, struct bd_job *job)
{
    struct bd_core *core = r->core;
    uint32_t zones[BD_MAX_ZONES];
    if (!job->within_guaranteed_share || job->ntasks != 1)
        return false;
    bd_zone_counts(core, job, zones);
    struct bd_machine *now = best(r, job, zones, true, true);
    if (!now || bd_fetch_s(core, now, &job->spec) < WORTH_MOVING_S)
        return false;
    bd_stop_costs(r, job, zones, false, true);
    return bd_vacate(r, job, zones, false);
}

/* Keeps what a gang that waits could have already, so that smaller work that comes later does not
 * overtake it for ever. */
static void hold(struct placement_cycle *r, const struct bd_job *job, uint32_t from)
{
    for (uint32_t i = from; i < r->k->nplan; i++)
        bd_resources_add(&r->claimed[r->k->plan[i].machine], &job->spec, 1);
}

/* All of the gang, or nothing; *got says how many could be placed where most could. */
static bool whole_gang(struct placement_cycle *r, struct bd_job *job, uint64_t attempt, bool keep,
                       uint32_t *got)
{
    uint32_t from = r->k->nplan;
    size_t bytes = r->bytes;
    *got = fill(r, job, job->ntasks, attempt, true);
    if (*got == job->ntasks)
        return true;
    if (keep)
        hold(r, job, from);
    unplan(r, from);
    r->bytes = bytes;
    return false;
}

/* A gang that must be together is tried in each zone; room is then made in the one that has most.
 */
static bool place_gang(struct placement_cycle *r, struct bd_job *job, uint64_t attempt)
{
    uint32_t got = 0, most = 0;
    int zone = -1, zones = job->spec.same_zone && job->ntasks > 1 ? r->core->nzones : 0;
    bool waits = r->core->wall - job->ready > HOLD_AFTER_S;
    bool placed = whole_gang(r, job, attempt, waits && zones == 0, &got);
    for (int z = 0; z < zones && !placed; z++) {
        r->only_zone = z;
        placed = whole_gang(r, job, attempt, false, &got);
        if (zone < 0 || got > most) {
            most = got;
            zone = z;
        }
    }
    r->only_zone = zones ? zone : -1;
    if (!placed && zones && waits)
        (void)whole_gang(r, job, attempt, true, &got);
    if (!placed && (waits || job->ntasks == 1) && job->priority > BD_PRIORITY_IDLE &&
        !bd_before(r->core->now, job->next_force) && !bd_preempt_gang(r, job, job->ntasks - got))
        job->next_force = bd_add(r->core->now, bd_secs(FORCE_AGAIN_S));
    r->only_zone = -1;
    return placed;
}

/* A service begins where its image lies, and so does an array with little time: in free room, or in
 * room that is made there, which is sooner than a fetch. Returns how many were placed; those that
 * room is made for are no longer wanted. */
static uint32_t place_quickly(struct placement_cycle *r, struct bd_job *job, uint32_t *want,
                              uint64_t attempt)
{
    r->quick = true;
    uint32_t got = fill(r, job, *want, attempt, false);
    if (got < *want)
        *want -= bd_preempt(r, job, *want - got, true);
    r->quick = false;
    return got;
}

static void know_prices(struct placement_cycle *r, const struct bd_job *job)
{
    const struct bd_spec *spec = &job->spec;
    bool due = isfinite(job->finish_by);
    /* work with little time to spare goes where its image lies, on spot or not */
    r->not_spot = COST_NOT_SPOT;
    r->urgent = spec->kind == BD_JOB_SERVICE;
    /* work that others wait for with a due time would lose more by a second run than spot saves */
    r->spot_lost = due ? COST_SPOT_LOST : 0;
    if (due) {
        r->not_spot = 0;
        r->urgent = bd_deadline_slack(r->core, job) < DEADLINE_URGENT_S;
    }
    for (int i = 0; i < r->core->settings->nslos; i++) {
        double slack =
            bd_slack(r->core, spec->job_class, spec->estimate, &r->core->settings->slos[i]);
        if (slack < 0)
            continue;
        r->not_spot = fmin(r->not_spot, slack * NOT_SPOT_SHARE);
        r->urgent = r->urgent || slack < HURRY_S;
    }
    for (int t = 0; t < r->core->ntypes; t++)
        for (int spot = 0; spot < 2; spot++)
            r->expensive[t][spot] = bd_type_is_expensive(r->core, spec, t, spot);
}

static void place_job(struct placement_cycle *r, struct bd_job *job)
{
    uint32_t want = quota_left(r->core, &job->spec, job->npending), got = 0;
    bool gang = job->spec.kind == BD_JOB_GANG, above = job->priority > BD_PRIORITY_IDLE;
    if (r->compares >= r->compares_max || want == 0 || (gang && want < job->ntasks))
        return;
    uint64_t attempt = (r->core->lead.base_term << 20) + r->core->lead.counter + 1;
    know_prices(r, job);
    if (gang && waits_for_image(r, job))
        return;
    if (gang) {
        got = place_gang(r, job, attempt) ? job->ntasks : 0;
        want = got;
    } else {
        if (r->urgent && above)
            got = place_quickly(r, job, &want, attempt);
        got += got < want ? fill(r, job, want - got, attempt, false) : 0;
        /* a short task that is stopped costs less than a GPU machine taken for a long service */
        if (got < want && job->spec.kind == BD_JOB_SERVICE && above)
            want -= bd_preempt(r, job, want - got, true);
        got += got < want ? fill(r, job, want - got, attempt, true) : 0;
    }
    r->core->lead.counter += got > 0;
    r->compares += got > 0;
    if (got >= want || !above || bd_before(r->core->now, job->next_force))
        return;
    /* looking at every task of every machine is dear, and seldom finds what was not there before */
    if (bd_preempt(r, job, want - got, false) == 0)
        job->next_force = bd_add(r->core->now, bd_secs(FORCE_AGAIN_S));
}

/* For each kind of machine the largest GPU task that some live job could put there. */
static void gpu_demand(struct bd_core *core, struct bd_job **jobs, uint32_t n)
{
    memset(core->cloud.gpu_wanted, 0, sizeof core->cloud.gpu_wanted);
    core->cloud.gpu_waiting = false;
    for (uint32_t i = 0; i < n; i++) {
        const struct bd_spec *spec = &jobs[i]->spec;
        core->cloud.gpu_waiting |=
            spec->gpus > 0 && jobs[i]->npending > 0 && quota_left(core, spec, 1) > 0;
        for (int t = 0; spec->gpus > 0 && t < core->ntypes; t++)
            for (int spot = 0; spot < 2; spot++)
                if (bd_type_allowed(spec, t) && (spec->spot || !spot) &&
                    spec->gpus <= core->types[t].gpus &&
                    spec->gpus >= core->cloud.gpu_wanted[t][spot].gpus)
                    core->cloud.gpu_wanted[t][spot] = *spec;
    }
}

void bd_cycle_place(struct bd_core *core)
{
    struct placement_cycle r = {.core = core, .k = core->lead.commit, .only_zone = -1, .nstops = 1};
    r.njobs = bd_jobs_in_order(core, &r.jobs);
    gpu_demand(core, r.jobs, r.njobs);
    r.claimed = calloc(core->nmachines + 1, sizeof *r.claimed);
    r.stops = calloc(core->nmachines + 1, sizeof *r.stops);
    r.fetch = calloc(core->nmachines + 1, sizeof *r.fetch);
    r.cost = calloc(core->nmachines + 1, sizeof *r.cost);
    r.open = calloc(core->nmachines + 1, sizeof *r.open);
    /* each record but the last may end a group's worth early */
    uint32_t parts = bd_cycle_intent_records(core);
    r.most_bytes = (size_t)(BD_VALUE_SHARE * (double)core->kv_limits.kv_value_bytes_max * parts) -
                   (size_t)(parts - 1) * 2 * BD_LABEL;
    r.compares_max = (uint32_t)(3 * core->kv_limits.kv_txn_ops_max);
    if (!r.claimed || !r.open || !r.stops || !r.cost || !r.fetch)
        abort();
    for (uint32_t i = 0; i < core->nmachines; i++)
        r.open[i] = bd_machine_usable(core, core->by_index[i]) && !core->by_index[i]->consolidating;
    for (uint32_t i = 0; i < r.njobs; i++) {
        struct bd_job *job = r.jobs[i];
        if (job->npending > 0 && !job->stale && bd_before(job->hold_until, core->now) &&
            !bd_before(core->now, job->backoff_until))
            place_job(&r, job);
    }
    free(r.jobs);
    free(r.claimed);
    free(r.stops);
    free(r.cost);
    free(r.fetch);
    free(r.open);
}