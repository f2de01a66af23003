/* Commands that a machine is owed, in answers and directly. Part of the pure core. */
#include "workers/commands.h"
#include "core/core_internal.h"
#include <stdio.h>

#define ZONE_FAILS 4u /* direct commands without an answer, in a row, of one zone */
#define ZONE_PROBE_S 4.0

void bd_orders_add(struct bd_order_list *orders, enum bd_verb verb, const char *job, uint32_t task,
                   uint64_t attempt, double grace)
{
    if (orders->count == orders->capacity) {
        size_t cap = orders->capacity ? orders->capacity * 2 : 8;
        struct bd_order *o = realloc(orders->items, cap * sizeof *o);
        if (!o)
            abort();
        orders->items = o;
        orders->capacity = cap;
    }
    struct bd_order *o = &orders->items[orders->count++];
    o->verb = verb;
    snprintf(o->job, sizeof o->job, "%s", job);
    o->task = task;
    o->attempt = attempt;
    o->grace = grace;
}

static double grace_of(const struct bd_job *job, const struct bd_task *task)
{
    if (task->flags & BD_F_FORCE || job->spec.checkpoint <= 0)
        return 0;
    return job->spec.save + 1.0;
}

static void add_halts(struct bd_machine *machine, struct bd_order_list *orders)
{
    for (uint32_t k = 0; k < machine->nrefs; k++) {
        const struct bd_job *job = machine->refs[k].job;
        uint32_t i = machine->refs[k].task;
        const struct bd_task *task = &job->tasks[i];
        bool force = task->flags & BD_F_FORCE;
        if (task->flags & BD_F_STOP && !(task->flags & BD_F_EXITED) && task->state == BD_T_LIVE &&
            (task->sub != BD_SAVING || force))
            bd_orders_add(orders, BD_HALT, job->id, i, task->attempt, grace_of(job, task));
    }
}

/* An attempt that an earlier token's direct launch may have carried is launched in answers only:
 * see forget. */
static bool add_launches(struct bd_core *core, struct bd_machine *machine,
                         struct bd_order_list *orders, bool direct)
{
    bool launch = false;
    for (uint32_t k = 0; k < machine->nrefs && bd_may_launch(core); k++) {
        struct bd_job *job = machine->refs[k].job;
        uint32_t i = machine->refs[k].task;
        struct bd_task *task = &job->tasks[i];
        if (task->state != BD_T_LAUNCH || task->flags & (BD_F_EXITED | BD_F_STOP) ||
            job->state != BD_LIVE || bd_cancel_heard(core, job) ||
            (direct && task->attempt <= core->lead.fenced_attempt))
            continue;
        bd_orders_add(orders, BD_LAUNCH, job->id, i, task->attempt, 0);
        bd_decision_log_task(core, "start", job, i, task->attempt, machine,
                             direct ? "via=direct" : "via=answer");
        task->flags |= direct ? BD_F_SENT | BD_F_DO : BD_F_SENT | BD_F_TOLD;
        launch = true;
    }
    return launch;
}

/* Nothing while a direct command is under way: one message at a time says it. What must not wait
 * for that is added by bd_orders_answer. */
void bd_orders_owed(struct bd_core *core, struct bd_machine *machine, struct bd_order_list *orders)
{
    if (machine->do_busy)
        return;
    add_halts(machine, orders);
    (void)add_launches(core, machine, orders, false);
}

static bool has_halt(const struct bd_order_list *orders, const struct bd_reported_task *s)
{
    for (size_t i = 0; i < orders->count; i++)
        if (orders->items[i].verb == BD_HALT && orders->items[i].attempt == s->attempt &&
            orders->items[i].task == s->task && strcmp(orders->items[i].job, s->job) == 0)
            return true;
    return false;
}

static void add_halt_of_cancelled(struct bd_core *core, const struct bd_job *job,
                                  const struct bd_reported_task *s, struct bd_order_list *orders)
{
    bd_orders_add(orders, BD_HALT, s->job, s->task, s->attempt, 0);
    bd_decision_log_task(core, "halt", job, s->task, s->attempt, NULL, "why=cancelled via=answer");
}

/* Halts of what users have cancelled: nobody's leave is needed for these, and the machine need not
 * have seen our term. A direct command that was to say it may wait in our own queue, while each
 * answer renews the lease. */
static void halt_cancelled(struct bd_core *core, const struct bd_heartbeat *heartbeat,
                           struct bd_order_list *orders)
{
    for (size_t i = 0; i < heartbeat->n; i++) {
        const struct bd_reported_task *s = &heartbeat->tasks[i];
        const struct bd_job *job = s->sub == BD_EXITED ? NULL : bd_job_find(core, s->job);
        if (job && job->state == BD_CANCELLED && !has_halt(orders, s))
            add_halt_of_cancelled(core, job, s, orders);
    }
}

void bd_orders_answer(struct bd_core *core, void *request, const struct bd_heartbeat *heartbeat,
                      struct bd_order_list *orders, uint64_t fencing_token)
{
    halt_cancelled(core, heartbeat, orders);
    bd_effect_reply(core, request, 200,
                    bd_wire_orders(fencing_token, 0, orders->items, orders->count), 0);
}

/* Whether the zone's machines do not answer directly, as when it is cut off from us: each try would
 * hang a sender. One is let through now and then. */
static bool zone_closed(struct bd_core *core, const struct bd_machine *machine)
{
    if (machine->zone < 0 || core->cloud.direct[machine->zone].fails < ZONE_FAILS)
        return false;
    if (bd_before(core->now, core->cloud.direct[machine->zone].until))
        return true;
    core->cloud.direct[machine->zone].until = bd_add(core->now, bd_secs(ZONE_PROBE_S));
    return false;
}

/* Sends what is owed directly, where the machine can be expected to answer. */
void bd_orders_send(struct bd_core *core, struct bd_machine *machine)
{
    struct bd_order_list orders = {0};
    if (machine->do_busy || bd_before(core->now, machine->do_after) || !machine->fenced ||
        machine->gone || !*machine->addr || !bd_core_valid(core) || bd_overdue(core, machine) ||
        zone_closed(core, machine))
        return;
    add_halts(machine, &orders);
    bool launch = add_launches(core, machine, &orders, true);
    if (orders.count == 0)
        return;
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_DIRECT_COMMAND);
    effect->machine = machine->index;
    effect->fencing_token = core->lead.term;
    effect->launch = launch;
    effect->until = bd_command_until(core, launch);
    snprintf(effect->addr, sizeof effect->addr, "%s", machine->addr);
    effect->body =
        bd_wire_orders(core->lead.term, machine->incarnation, orders.items, orders.count);
    machine->do_busy = true;
    machine->do_since = core->now;
    free(orders.items);
}