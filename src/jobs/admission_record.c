/* Builds the transactions that accept a job. They write its record and, if the names of its parents
 * do not fit into the record's value, parts with those names (j/JOB/HASH/NUMBER). The parts are
 * committed before the record; the job is accepted only once its record is committed.
 *
 * The keys of the parts contain a hash of the names, so that a retry by another controller writes
 * the same parts, and a different submission of the same id does not overwrite them. */
#include "jobs/jobs_internal.h"
#include "model/core_state.h"
#include "model/kv_limits.h"
#include "wire/wire.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Of all values in one transaction that writes parts; the limit of a request's body is 64 KiB. */
#define PARTS_TXN_BYTES_MAX 50000u
_Static_assert(BD_VALUE_BYTES_MAX < PARTS_TXN_BYTES_MAX, "a transaction holds at least one part");
#define PART_OVERHEAD_BYTES 32 /* of a part's value, without the names */
#define NAME_OVERHEAD_BYTES 3  /* quotes and comma of a name */

/* Transactions as text, one per line. Owns the text. */
struct txn_lines {
    char *text; /* NULL: none yet */
    size_t len;
};

/* Takes ownership of the line. */
static void append_line(struct txn_lines *lines, char *line)
{
    size_t len = strlen(line);
    char *grown = realloc(lines->text, lines->len + len + 2);
    if (!grown)
        abort();
    memcpy(grown + lines->len, line, len);
    grown[lines->len + len] = '\n';
    grown[lines->len + len + 1] = '\0';
    lines->text = grown;
    lines->len += len + 1;
    free(line);
}

static double usable_value_bytes(const struct bd_core *core)
{
    return BD_VALUE_SHARE * (double)core->kv_limits.kv_value_bytes_max;
}

static bool fits_value(const struct bd_core *core, json_t *value)
{
    return (double)bd_wire_value_bytes(value) <= usable_value_bytes(core);
}

static json_t *build_record(struct bd_admission *admission, bool with_names)
{
    admission->record.parents.ids = with_names ? admission->parents : NULL;
    return bd_wire_write_job_record(&admission->record);
}

/* Returns the names from index *next on that fit into one value, and sets *next to the index after
 * the last of them. The caller owns the list. */
static json_t *take_names_for_part(const struct bd_core *core, const json_t *parents, size_t *next)
{
    double free_bytes = usable_value_bytes(core) - PART_OVERHEAD_BYTES;
    json_t *names = json_array();
    for (; *next < json_array_size(parents); ++*next) {
        json_t *name = json_array_get(parents, *next);
        free_bytes -= (double)json_string_length(name) + NAME_OVERHEAD_BYTES;
        if (free_bytes <= 0)
            break;
        json_array_append(names, name);
    }
    return names;
}

/* Adds a part with the names from index *next on to the transaction. */
static void put_part(const struct bd_core *core, struct bd_admission *admission, struct bd_txn *txn,
                     size_t *next)
{
    struct bd_job_record_parents *parents = &admission->record.parents;
    char key[2 * BD_LABEL_BYTES];
    snprintf(key, sizeof key, "j/%s/%s/%u", admission->id, parents->parts_hash,
             parents->part_count++);
    json_t *names = take_names_for_part(core, admission->parents, next);
    bd_txn_put(txn, key, bd_wire_write_parents_part(names), 0);
}

/* Appends a transaction that writes parts for the names from index *next on. Returns false if a
 * name does not fit into a value. */
static bool append_parts_txn(const struct bd_core *core, struct bd_admission *admission,
                             size_t *next, struct txn_lines *lines)
{
    const struct bd_kv_limits *limits = &core->kv_limits;
    size_t name_count = json_array_size(admission->parents), value_bytes = 0;
    struct bd_txn txn;
    char key[BD_LABEL_BYTES];
    bool made_progress = true;
    snprintf(key, sizeof key, "j/%s", admission->id);
    if (!bd_txn_begin(&txn))
        abort();
    bd_txn_compare(&txn, key, 0); /* once the job is accepted, its parts are not needed */
    for (size_t ops = 0; made_progress && *next < name_count && ops < limits->kv_txn_ops_max &&
                         value_bytes + limits->kv_value_bytes_max < PARTS_TXN_BYTES_MAX;
         ops++) {
        size_t first = *next;
        put_part(core, admission, &txn, next);
        made_progress = *next > first;
        value_bytes += limits->kv_value_bytes_max;
    }
    char *line = bd_txn_finish(&txn);
    if (!line)
        abort();
    append_line(lines, line);
    return made_progress;
}

/* Appends the transactions that write all parts. Returns false if there are too many parts or a
 * name is too long. */
static bool append_all_parts(const struct bd_core *core, struct bd_admission *admission,
                             struct txn_lines *lines)
{
    struct bd_job_record_parents *parents = &admission->record.parents;
    size_t next = 0, name_count = json_array_size(admission->parents);
    snprintf(parents->parts_hash, sizeof parents->parts_hash, "%016llx",
             (unsigned long long)bd_wire_hash_names(admission->parents));
    while (next < name_count)
        if (!append_parts_txn(core, admission, &next, lines))
            return false;
    return parents->part_count <= BD_PARENT_PARTS_MAX;
}

char *bd_admission_txns(const struct bd_core *core, struct bd_admission *admission)
{
    struct txn_lines lines = {0};
    json_t *record = build_record(admission, true);
    if (fits_value(core, record))
        return bd_job_record_txn(admission->id, 0, record);
    json_decref(record);
    record = NULL;
    if (!admission->parents || !append_all_parts(core, admission, &lines))
        goto too_large;
    record = build_record(admission, false);
    if (!fits_value(core, record))
        goto too_large;
    append_line(&lines, bd_job_record_txn(admission->id, 0, record));
    return lines.text;

too_large:
    json_decref(record);
    free(lines.text);
    return NULL;
}
