/* Malformed input, by its kind; each function prints and counts what it finds wrong. `directory`
 * has the data files. inputs.c owns the count of faults. */
#ifndef BD_TESTS_INPUTS_H
#define BD_TESTS_INPUTS_H

void inputs_check(int ok, const char *what);
/* The file's text, which the caller frees. Ends the program if it cannot be read. */
char *inputs_read_file(const char *directory, const char *name);

/* inputs_settings.c */
void inputs_settings(const char *directory);
void inputs_operator_files(void);

/* inputs_wire.c */
void inputs_submissions(const char *directory);
void inputs_parents(void);
void inputs_heartbeats(const char *directory);
void inputs_cached_heartbeats(void);
void inputs_records(void);
void inputs_cloud(void);

/* inputs_frames.c */
void inputs_frames(void);
/* What the version in production wrote, captured by running it (`loopback OLDER capture DIR`). */
void inputs_production(const char *directory);
#endif
