/* How a task's state changes, with the sums over jobs, machines and teams that go with it. */
#include "core/core_internal.h"
#include "drain/drain.h"
#include <math.h>
#include <stdio.h>

/* named defaults */
#define LATE_HEARTBEATS 1.4 /* report intervals, which vary by a quarter, and what delays one */
#define LATE_EXTRA_S 1.5
#define LATE_MIN_S 5.5 /* one controller that lets it hang */

uint32_t bd_tenths(struct timespec t)
{
    return (uint32_t)((uint64_t)t.tv_sec * 10 + (uint64_t)t.tv_nsec / 100000000u) | 1u;
}

static bool has_reservation(const struct bd_task *task)
{
    return task->machine != BD_NO_MACHINE;
}

static void team_use(struct bd_core *core, const struct bd_spec *spec, double sign)
{
    if (spec->team < 0)
        return;
    core->team_cpus[spec->team] += sign * spec->cpus;
    core->team_gpus[spec->team] += sign * spec->gpus;
}

static void machine_use(struct bd_machine *machine, const struct bd_spec *spec, double sign)
{
    machine->cpus += sign * spec->cpus;
    machine->gpus += sign * spec->gpus;
    machine->mem += sign * spec->mem;
    if (spec->kind != BD_JOB_SERVICE && spec->gpus <= 0)
        return; /* ends by itself before long */
    machine->pinned_cpus += sign * spec->cpus;
    machine->pinned_gpus += sign * spec->gpus;
    machine->pinned_mem += sign * spec->mem;
}

bool bd_job_start_tracking(struct bd_core *core, struct bd_job *job)
{
    (void)core;
    if (job->tasks)
        return true;
    job->tasks = calloc(job->ntasks, sizeof *job->tasks);
    if (!job->tasks)
        return false;
    for (uint32_t i = 0; i < job->ntasks; i++)
        job->tasks[i].machine = BD_NO_MACHINE;
    job->npending = job->ntasks;
    job->ndone = job->nplaced = job->nrunning = 0;
    job->receipt_chunks = 0;
    job->dirty = false;
    return true;
}

void bd_job_stop_tracking(struct bd_job *job)
{
    if (job->tasks) {
        job->shown_done = job->ndone;
        job->shown_running = job->nrunning;
    }
    free(job->tasks);
    job->tasks = NULL;
    job->npending = job->ndone = job->nplaced = job->nrunning = 0;
    job->dirty = false;
    job->dirty_chunks = 0;
}

static void count(struct bd_job *job, const struct bd_task *task, int d)
{
    switch (task->state) {
    case BD_TASK_PENDING:
        job->npending += (uint32_t)d;
        break;
    case BD_TASK_DONE:
        job->ndone += (uint32_t)d;
        break;
    default:
        job->nplaced += (uint32_t)d;
    }
    if (task->state == BD_TASK_CONFIRMED &&
        (task->execution == BD_EXECUTION_RUNNING || task->execution == BD_EXECUTION_CHECKPOINTING))
        job->nrunning += (uint32_t)d;
}

void bd_task_set(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_task_state st)
{
    (void)core;
    count(job, &job->tasks[i], -1);
    job->tasks[i].state = (uint8_t)st;
    count(job, &job->tasks[i], 1);
}

static void add_reservation(struct bd_machine *machine, struct bd_job *job, uint32_t i)
{
    if (machine->nreservations == machine->cap) {
        uint32_t cap = machine->cap ? machine->cap * 2 : 8;
        struct bd_reservation *r = realloc(machine->reservations, cap * sizeof *r);
        if (!r)
            abort();
        machine->reservations = r;
        machine->cap = cap;
    }
    machine->reservations[machine->nreservations++] = (struct bd_reservation){job, i};
}

static void remove_reservation(struct bd_machine *machine, const struct bd_job *job, uint32_t i)
{
    for (uint32_t k = 0; k < machine->nreservations; k++) {
        if (machine->reservations[k].job == job && machine->reservations[k].task == i) {
            machine->reservations[k] = machine->reservations[--machine->nreservations];
            return;
        }
    }
}

static const struct bd_held_image *held_image(const struct bd_machine *machine, int image)
{
    for (int k = 0; k < machine->nimages; k++)
        if (machine->images[k].image == image)
            return &machine->images[k];
    return NULL;
}

bool bd_has_image(const struct bd_machine *machine, int image)
{
    return held_image(machine, image) != NULL;
}

static double still_s(const struct bd_core *core, struct timespec ready)
{
    return bd_before(core->now, ready) ? bd_between(core->now, ready) : 0;
}

/* How long until the task's image is there: nothing where it lies already; where other images are
 * on their way it comes after them, or as slowly as if it did. */
double bd_fetch_s(const struct bd_core *core, const struct bd_machine *machine,
                  const struct bd_spec *spec)
{
    const struct bd_held_image *h = held_image(machine, spec->image);
    if (h)
        return still_s(core, h->ready);
    if (machine->type < 0 ||
        !core->types[machine->type].known) /* known by an earlier term's intents alone */
        return INFINITY;
    return still_s(core, machine->fetched_by) + spec->image_gb / core->types[machine->type].fetch;
}

/* The least recently used go if all do not fit the machine. */
static void drop_old_images(const struct bd_core *core, struct bd_machine *machine)
{
    double gb = 0;
    if (machine->type < 0 || !core->types[machine->type].known)
        return;
    for (int k = 0; k < machine->nimages; k++) {
        gb += machine->images[k].gb;
        if (k > 0 && gb > core->types[machine->type].cache_gb)
            machine->nimages = k;
    }
}

/* The image is used, or will be; `there`: a task was seen to run from it. */
void bd_remember_image(struct bd_core *core, struct bd_machine *machine, const struct bd_spec *spec,
                       bool there)
{
    const struct bd_held_image *known = held_image(machine, spec->image);
    struct bd_held_image h = {spec->image, spec->image_gb, core->now};
    int k = known ? (int)(known - machine->images) : machine->nimages;
    if (known)
        h = *known;
    else if (!there && machine->type >= 0 && core->types[machine->type].fetch > 0)
        h.ready = machine->fetched_by = bd_add(core->now, bd_secs(bd_fetch_s(core, machine, spec)));
    if (there)
        h.ready = core->now;
    if (k == BD_IMAGES)
        k--;
    else if (!known)
        machine->nimages++;
    memmove(machine->images + 1, machine->images, (size_t)k * sizeof *machine->images);
    machine->images[0] = h;
    drop_old_images(core, machine);
}

void bd_task_assign(struct bd_core *core, struct bd_job *job, uint32_t i,
                    struct bd_machine *machine, uint64_t attempt, enum bd_task_state st)
{
    struct bd_task *task = &job->tasks[i];
    if (has_reservation(task))
        bd_task_release(core, job, i, BD_RELEASE_MOVED);
    task->machine = machine->index;
    task->attempt = attempt;
    task->flags = 0;
    task->started_at = 0;
    task->execution = BD_EXECUTION_FETCHING;
    bd_task_set(core, job, i, st);
    job->last_placed_at = core->now;
    add_reservation(machine, job, i);
    machine_use(machine, &job->spec, 1);
    if (st != BD_TASK_PLANNED) /* a plan that comes to nothing fetches nothing */
        bd_remember_image(core, machine, &job->spec, true);
    team_use(core, &job->spec, 1);
}

static void release_reservation(struct bd_core *core, struct bd_job *job, uint32_t i)
{
    struct bd_task *task = &job->tasks[i];
    struct bd_machine *machine = bd_machine_of(core, task->machine);
    if (!has_reservation(task))
        return;
    task->machine = BD_NO_MACHINE;
    team_use(core, &job->spec, -1);
    if (!machine)
        return;
    remove_reservation(machine, job, i);
    machine_use(machine, &job->spec, -1);
    if (machine->nreservations == 0) {
        machine->cpus = machine->gpus = machine->mem = 0;
        machine->pinned_cpus = machine->pinned_gpus = machine->pinned_mem = 0;
        machine->idle_since = core->now;
    }
}

static bool stoppable(const struct bd_task *task)
{
    return (task->state == BD_TASK_LAUNCHING || task->state == BD_TASK_CONFIRMED ||
            task->state == BD_TASK_UNKNOWN) &&
           !(task->flags & BD_TASK_FLAG_STOP_REQUESTED);
}

/* A gang that lost a member cannot go on: the rest is stopped, and the whole is placed again. */
static void gang_member_gone(struct bd_core *core, struct bd_job *job)
{
    for (uint32_t i = 0; i < job->ntasks; i++) {
        if (!stoppable(&job->tasks[i]))
            continue;
        bd_task_stop(core, job, i, BD_STOP_GANG, false); /* and with it all others */
        return;
    }
}

void bd_task_release(struct bd_core *core, struct bd_job *job, uint32_t i,
                     enum bd_release_reason why)
{
    struct bd_task *task = &job->tasks[i];
    bool was_sent = task->state != BD_TASK_PLANNED && task->state != BD_TASK_PENDING;
    if (was_sent)
        bd_decision_log_release(core, job, i, why);
    job->restarts += was_sent;
    release_reservation(core, job, i);
    if (task->state == BD_TASK_DONE)
        return;
    task->flags = 0;
    task->execution = BD_EXECUTION_FETCHING;
    bd_task_set(core, job, i, BD_TASK_PENDING);
    bd_ledger_task(core, job, i);
    core->lead.cycle_wanted = true;
    if (job->spec.kind == BD_JOB_GANG && job->ntasks > 1 && was_sent && job->nplaced > 0)
        gang_member_gone(core, job);
}

static void one_done(struct bd_core *core, struct bd_job *job, uint32_t i)
{
    if (job->tasks[i].state == BD_TASK_DONE)
        return;
    bd_decision_log_release(core, job, i, BD_RELEASE_DONE);
    release_reservation(core, job, i);
    job->tasks[i].flags = 0;
    bd_task_set(core, job, i, BD_TASK_DONE);
    bd_ledger_task(core, job, i);
    job->dirty = true;
    job->dirty_chunks |= 1u << (i / CHUNK);
    core->lead.cycle_wanted = true;
}

void bd_task_done(struct bd_core *core, struct bd_job *job, uint32_t i)
{
    if (job->spec.kind != BD_JOB_GANG) {
        one_done(core, job, i);
        return;
    }
    /* the tasks of a gang complete together */
    for (uint32_t k = 0; k < job->ntasks; k++)
        one_done(core, job, k);
}

static void stop_one(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_stop_reason why,
                     bool force)
{
    struct bd_task *task = &job->tasks[i];
    struct bd_machine *machine = bd_machine_of(core, task->machine);
    if (!(task->flags & BD_TASK_FLAG_STOP_REQUESTED) ||
        (force && !(task->flags & BD_TASK_FLAG_FORCED_STOP)))
        bd_decision_log_stop(core, job, i, why, force);
    if (force)
        task->flags |= BD_TASK_FLAG_FORCED_STOP;
    task->flags |= BD_TASK_FLAG_STOP_REQUESTED;
    bd_ledger_task(core, job, i);
    if (task->state == BD_TASK_LAUNCHING && !(task->flags & BD_TASK_FLAG_LAUNCH_SENT))
        bd_task_release(core, job, i,
                        BD_RELEASE_LAUNCH_NOT_SENT); /* nothing was ever sent: nothing can start */
    else if (machine)
        bd_commands_send_direct(core, machine);
}

/* A gang saves only if all its members are told within a short time: they are stopped together. */
void bd_task_stop(struct bd_core *core, struct bd_job *job, uint32_t i, enum bd_stop_reason why,
                  bool force)
{
    stop_one(core, job, i, why, force);
    if (job->spec.kind != BD_JOB_GANG)
        return;
    for (uint32_t k = 0; k < job->ntasks; k++)
        if (stoppable(&job->tasks[k]))
            stop_one(core, job, k, why, force);
}

struct bd_machine *bd_machine_of(struct bd_core *core, uint32_t index)
{
    return index < core->nmachines ? core->by_index[index] : NULL;
}

struct bd_machine *bd_machine_get(struct bd_core *core, const char *id)
{
    struct bd_machine *m = NULL;
    HASH_FIND_STR(core->machines, id, m);
    if (m)
        return m;
    m = calloc(1, sizeof *m);
    if (!m)
        abort();
    if (core->nmachines == core->cap_machines) {
        uint32_t cap = core->cap_machines ? core->cap_machines * 2 : 64;
        struct bd_machine **b = realloc(core->by_index, cap * sizeof(struct bd_machine *));
        if (!b)
            abort();
        core->by_index = b;
        core->cap_machines = cap;
    }
    snprintf(m->id, sizeof m->id, "%s", id);
    m->index = core->nmachines;
    m->type = m->zone = m->via = -1;
    m->notice_left = -1;
    m->known_at = m->idle_since = core->now;
    /* it may have been renewed by an earlier term that we cannot see */
    m->lease_expires_at = core->lead.earlier_leases_expire_at;
    core->by_index[core->nmachines++] = m;
    HASH_ADD_STR(core->machines, id, m);
    return m;
}

struct timespec bd_lease_expiry(const struct bd_core *core, struct timespec answered)
{
    double lease = bd_to_secs(core->settings->lease) * (1 + DRIFT) + 0.2;
    return bd_add(answered, bd_secs(lease));
}

/* Everything the machine's last session had is gone. */
void bd_machine_lease_expired(struct bd_core *core, struct bd_machine *machine,
                              enum bd_release_reason why)
{
    uint32_t k = 0;
    while (k < machine->nreservations) {
        struct bd_reservation r = machine->reservations[k];
        struct bd_task *task = &r.job->tasks[r.task];
        /* a plan was not sent: it stays with its transaction */
        if (task->state == BD_TASK_PLANNED) {
            k++;
            continue;
        }
        bd_task_release(core, r.job, r.task, why);
        k = 0; /* freeing one may move the others */
    }
    machine->late_launch_token = 0;
}

void bd_machine_gone(struct bd_core *core, struct bd_machine *machine)
{
    bd_machine_lease_expired(core, machine, BD_RELEASE_MACHINE_GONE);
    machine->gone = true;
    machine->addr[0] = '\0';
}

static bool late(const struct bd_core *core, struct timespec last)
{
    double s = LATE_HEARTBEATS * bd_to_secs(core->settings->heartbeat_interval) + LATE_EXTRA_S;
    return bd_between(last, core->now) > (s > LATE_MIN_S ? s : LATE_MIN_S);
}

/* Whether its report is late: it hangs, or goes round looking for a controller. Direct commands
 * would hold up a sender each. */
bool bd_overdue(const struct bd_core *core, const struct bd_machine *machine)
{
    return late(core, machine->heard);
}

bool bd_machine_usable(const struct bd_core *core, const struct bd_machine *machine)
{
    return machine->type >= 0 && machine->zone >= 0 && core->types[machine->type].known &&
           machine->fenced && !machine->gone && !machine->scaling_in && !machine->failed &&
           !machine->quarantined && machine->notice_left < 0 && !bd_drain_cordoned(core, machine) &&
           (!machine->outbound_partition || core->lead.outbound_partition_is_ours) &&
           !late(core, machine->heard) &&
           /* one that answers directly while its check-ins reach nobody loses all with its lease */
           !late(core, machine->asked) && bd_before(machine->refuse_until, core->now);
}
