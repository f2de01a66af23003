/* The users of a simulated day: they submit, ask and cancel, and check the answers against the
 * rules. */
#include "leadership/leadership.h"
#include "sim_day.h"
#include "sim_plan.h"
#include "simulation.h"
#include "wire/wire.h"
#include <stdio.h>
#include <string.h>

#define FORGOTTEN_S 75.0 /* without an answer a job counts as forgotten */

void sim_send_request(struct sim *sim, int job, int node, enum sim_request_kind verb)
{
    static const char *const kind_names[] = {"sweep", "gang", "service"};
    static const char *const priority_names[] = {"idle", "standard", "high", "production"};
    struct sim_job *j = &sim->jobs[job];
    char text[640];
    struct sim_event *event = sim_schedule(sim, sim_network_delay(sim), SIM_USER_REQUEST);
    event->node = node;
    event->index = job;
    event->status = verb;
    event->number = (uint64_t)(sim->now * 1e6);
    if (verb == SIM_CANCEL && j->cancel_requested_at <= 0)
        j->cancel_requested_at = sim->now;
    if (verb != SIM_SUBMIT)
        return;
    snprintf(text, sizeof text,
             "{\"id\":\"%s\",\"kin\":\"k\",\"household\":\"%s\",\"shape\":\"%s\",\"rank\":"
             "\"%s\",\"chores\":%u,\"vcpus\":%.1f,%s\"memGb\":1,\"seed\":\"img\",\"imageGb\":"
             "1,\"breeds\":null,\"glade\":%s,\"together\":false,\"scatter\":false,\"windfall\":"
             "false,\"guessS\":8,\"markS\":0,\"stowS\":0,\"dueS\":null}",
             j->id, j->team ? "b" : "a", kind_names[j->kind], priority_names[j->priority], j->tasks,
             j->cpus, j->is_invalid && job % 2 ? "" : "\"accelerators\":0,", j->zone);
    event->text = strdup(text);
}

int sim_healthy_node(struct sim *sim)
{
    int from = (int)(sim_random(sim) * SIM_NODES);
    for (int i = 0; i < SIM_NODES; i++) {
        int node = (from + i) % SIM_NODES;
        if (sim->nodes[node].core && bd_leadership_is_healthy(sim->nodes[node].core))
            return node;
    }
    return from;
}

/* Right after an answer that matters: all nodes, and the submission once more. */
static void ask_all_nodes(struct sim *sim, int job)
{
    for (int i = 0; i < SIM_NODES; i++)
        sim_send_request(sim, job, i, SIM_QUERY);
    if (sim_random(sim) < 0.5)
        sim_send_request(sim, job, sim_healthy_node(sim), SIM_SUBMIT);
}

void sim_user_timer(struct sim *sim, struct sim_event *event)
{
    struct sim_job *job = &sim->jobs[event->index];
    bool over = job->done_at > 0 || job->cancelled_at > 0;
    if (job->accepted_at <= 0)
        sim_send_request(sim, event->index, sim_healthy_node(sim), SIM_SUBMIT);
    else if (job->cancel_at > 0 && sim->now >= job->cancel_at && !over)
        sim_send_request(sim, event->index, sim_healthy_node(sim), SIM_CANCEL);
    else
        sim_send_request(sim, event->index, sim_healthy_node(sim), SIM_QUERY);
    double last =
        job->last_answer_at > sim->faults_end_at ? job->last_answer_at : sim->faults_end_at;
    if (job->accepted_at > 0 && sim->now - last > FORGOTTEN_S)
        sim_violation(sim, "forgotten: no question about %s is answered for %.0f s", job->id,
                      FORGOTTEN_S);
    if (job->is_invalid && sim->now > sim->faults_end_at)
        return;
    sim_schedule(sim, over ? sim_uniform(sim, 5, 15) : sim_uniform(sim, 1, 4), SIM_USER_TIMER)
        ->index = event->index;
}

static void state_told(struct sim *sim, struct sim_event *event, const char *state)
{
    struct sim_job *job = &sim->jobs[event->index];
    double sent = (double)event->number / 1e6;
    bool first = job->accepted_at <= 0;
    if (first)
        job->accepted_at = sim->now;
    job->last_answer_at = sim->now;
    if (strcmp(state, "done") == 0) {
        for (uint32_t i = 0; i < job->tasks; i++)
            if (!job->done[i])
                sim_violation(sim, "not_done: %s is called done, task %u is not", job->id, i);
        first = first || job->done_at <= 0;
        if (job->cancelled_at > 0 && sent > job->cancelled_at)
            sim_violation(sim, "went_back: %s was cancelled, now done", job->id);
        job->done_at = job->done_at > 0 ? job->done_at : sim->now;
    } else if (strcmp(state, "cancelled") == 0) {
        if (job->cancel_requested_at <= 0)
            sim_violation(sim, "went_back: %s is called cancelled, nobody asked for it", job->id);
        if (job->done_at > 0 && sent > job->done_at)
            sim_violation(sim, "went_back: %s was done, now cancelled", job->id);
        first = first || job->cancelled_at <= 0;
        if (job->cancelled_at <= 0)
            sim_trace(sim, "%s is cancelled", job->id);
        job->cancelled_at = job->cancelled_at > 0 ? job->cancelled_at : sim->now;
    } else if ((job->done_at > 0 && sent > job->done_at) ||
               (job->cancelled_at > 0 && sent > job->cancelled_at)) {
        sim_violation(sim, "went_back: %s was %s, now %s", job->id,
                      job->done_at > 0 ? "done" : "cancelled", state);
    }
    if (first)
        ask_all_nodes(sim, event->index);
    if (first && job->cancel_at < 0) { /* some cancel at once */
        job->cancel_at = sim->now;
        sim_send_request(sim, event->index, sim_healthy_node(sim), SIM_CANCEL);
    }
}

void sim_user_answered(struct sim *sim, struct sim_event *event)
{
    struct sim_job *job = &sim->jobs[event->index];
    bool known = job->accepted_at > 0 && (double)event->number / 1e6 > job->accepted_at;
    json_t *answer = event->text ? json_loads(event->text, 0, NULL) : NULL;
    const char *state = json_string_value(json_object_get(answer, "mood"));
    if (event->status == 200 || event->status == 201) {
        if (job->is_invalid)
            sim_violation(sim, "accepted: %s lacks a field, or has no zone", job->id);
        state_told(sim, event, state ? state : "");
    } else if (event->status == 404 || event->status == 400 || event->status == 422) {
        if (known)
            sim_violation(sim, "forgotten: %s gets %ld", job->id, event->status);
        if (!job->is_invalid && event->status != 404)
            sim_violation(sim, "refused: %s gets %ld: %s", job->id, event->status, event->text);
    }
    json_decref(answer);
}

void sim_add_job(struct sim *sim, const struct sim_plan *plan, double at)
{
    if (sim->njobs == SIM_JOBS)
        return;
    int number = sim->njobs++;
    struct sim_job *job = &sim->jobs[number];
    memset(job, 0, sizeof *job);
    snprintf(job->id, sizeof job->id, "job-%d", number);
    double kind = sim_random(sim);
    job->kind = number < plan->services ? BD_JOB_SERVICE : kind < 0.2 ? BD_JOB_GANG : BD_JOB_ARRAY;
    job->team = number % 2;
    job->priority = job->kind == BD_JOB_SERVICE ? 3 : (int)(sim_random(sim) * 3);
    job->tasks = job->kind == BD_JOB_ARRAY ? 1 + (uint32_t)(sim_random(sim) * 5) : 2;
    job->cpus = job->kind == BD_JOB_SERVICE ? 1 : 1 + (int)(sim_random(sim) * 3);
    job->run_s = sim_random(sim) < 0.15 ? sim_uniform(sim, 30, 60) : sim_uniform(sim, 1, 12);
    if (plan->has_one_task_jobs) {
        job->kind = BD_JOB_ARRAY;
        job->tasks = 1;
        job->cpus = 1;
        job->run_s = sim_uniform(sim, 1, 6);
    }
    job->is_invalid = number > 3 && number % 17 == 0;
    double where = plan->has_one_task_jobs ? 1 : sim_random(sim);
    job->zone = job->is_invalid && number % 2 == 0 ? "\"nowhere\""
                : where < 0.1                      ? "\"a\""
                : where < 0.2                      ? "\"b\""
                                                   : "null";
    if (sim_random(sim) < plan->cancelled_share &&
        !(plan->has_drains && job->kind == BD_JOB_SERVICE))
        job->cancel_at = sim_random(sim) < 0.2 ? -1 : sim->now + at + sim_uniform(sim, 0.1, 40);
    for (int i = 0; i < SIM_TASKS; i++)
        job->machine[i] = -1;
    sim_schedule(sim, at, SIM_USER_TIMER)->index = number;
}
