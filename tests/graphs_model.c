/* The plain model of dependencies with which starts, answers and records are compared. */
#include "graphs.h"
#include "numbers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void report_violation(struct graph_run *run, const char *what, int job)
{
    fprintf(stderr, "seed %lu: %s: job-%d\n", run->seed, what, job);
    run->violations++;
}

static bool has_state(struct graph_run *run, const char *id, const char *state)
{
    char key[96];
    snprintf(key, sizeof key, "j/%s", id);
    struct graph_key *record = graph_find_key(run, key);
    const char *actual = record ? json_string_value(json_object_get(record->value, "s")) : NULL;
    return actual && strcmp(actual, state) == 0;
}

/* A job is cancelled if its current record, or that of a direct or indirect parent, has the state
 * cancelled. */
static bool is_cancelled(struct graph_run *run, int number)
{
    bool cancelled[JOBS] = {false};
    char id[32];
    for (int i = 0; i <= number; i++) { /* a job's parents have lower numbers */
        snprintf(id, sizeof id, "job-%d", i);
        cancelled[i] = has_state(run, id, "cancelled");
        for (int k = 0; k < run->jobs[i].nparents; k++)
            cancelled[i] = cancelled[i] || cancelled[run->jobs[i].parents[k]];
    }
    return cancelled[number];
}

void graph_check_start(struct graph_run *run, const char *task)
{
    int number = parse_number(task + strlen("job-"));
    char id[32];
    for (int k = 0; k < run->jobs[number].nparents; k++) {
        snprintf(id, sizeof id, "job-%d", run->jobs[number].parents[k]);
        if (!has_state(run, id, "done"))
            report_violation(run, "started before a job that it needs was done", number);
    }
}

void graph_check_answer(struct graph_run *run, struct graph_request *request, int status,
                        const char *body)
{
    struct graph_job *job = &run->jobs[request->job];
    bool says_cancelled = body && strstr(body, "\"cancelled\"");
    if (status == 200 || status == 201) {
        if (request->kind == GRAPH_SUBMIT)
            job->is_accepted = true;
        if (says_cancelled && !is_cancelled(run, request->job))
            report_violation(run, "reported as cancelled without a cause", request->job);
        if (!says_cancelled && job->is_reported_cancelled)
            report_violation(run, "reported in another state after it was cancelled", request->job);
        if (!says_cancelled && request->kind == GRAPH_QUERY && is_cancelled(run, request->job))
            report_violation(run, "not reported as cancelled", request->job);
        job->is_reported_cancelled = job->is_reported_cancelled || says_cancelled;
        run->cancelled_answers += says_cancelled;
    } else if (status != 503) {
        if (request->kind != GRAPH_SUBMIT || status != 422)
            report_violation(run, "refused with an unexpected status", request->job);
    }
    free(request);
}

void graph_check_end(struct graph_run *run)
{
    char id[32];
    for (int n = 0; n < JOBS; n++) {
        snprintf(id, sizeof id, "job-%d", n);
        if (!run->jobs[n].is_accepted)
            report_violation(run, "not accepted", n);
        else if (is_cancelled(run, n) && !has_state(run, id, "cancelled"))
            report_violation(run, "the record does not have the state cancelled", n);
        else if (!is_cancelled(run, n) && !has_state(run, id, "done"))
            report_violation(run, "not done", n);
        run->jobs_done += has_state(run, id, "done");
    }
}
