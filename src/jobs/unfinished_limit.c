/* The bound on the memory of unfinished jobs. Every controller holds their specifications, and a
 * new one reads all of their records; beyond the bound, users are asked to submit later. */
#include "base/units.h"
#include "brambledoor/settings.h"
#include "jobs/jobs_internal.h"
#include "model/core_state.h"
#include <math.h>

#define UNFINISHED_SHARE 0.5  /* of the memory setting */
#define JOB_BYTES 8192.0      /* state, specification, and its record while a refresh is read */
#define PARENT_BYTES 256.0    /* an edge, and the parent's entry */
#define JOBS_ALLOWED_MIN 1000 /* however small the memory setting is */

bool bd_unfinished_jobs_fit(const struct bd_core *core)
{
    double bytes_max = core->settings->ram_mb * BD_BYTES_PER_MB * UNFINISHED_SHARE;
    double bytes = 0;
    for (const struct bd_job *job = core->jobs; job; job = job->hh.next)
        if (job->state == BD_JOB_ACTIVE)
            bytes += JOB_BYTES + job->nparent_edges * PARENT_BYTES;
    return bytes < fmax(bytes_max, JOBS_ALLOWED_MIN * JOB_BYTES);
}
