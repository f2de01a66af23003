/* Tests that malformed input is refused: settings files, operators' files, and messages.
 *
 *   inputs DIRECTORY (of the data files) */
#include "inputs.h"
#include <stdio.h>
#include <stdlib.h>

static int failures;

void inputs_check(int ok, const char *what)
{
    if (!ok) {
        printf("FAIL %s\n", what);
        failures++;
    }
}

char *inputs_read_file(const char *directory, const char *name)
{
    char path[512];
    snprintf(path, sizeof path, "%s/%s", directory, name);
    FILE *file = fopen(path, "rb");
    char *text = calloc(1, 65536);
    if (!file || !text || fread(text, 1, 65535, file) == 0) {
        fprintf(stderr, "cannot read %s\n", path);
        exit(2);
    }
    (void)fclose(file);
    return text;
}

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    inputs_settings(argv[1]);
    inputs_operator_files();
    inputs_submissions(argv[1]);
    inputs_parents();
    inputs_heartbeats(argv[1]);
    inputs_cached_heartbeats();
    inputs_records();
    inputs_cloud();
    inputs_frames();
    inputs_production(argv[1]);
    printf("%d checks failed\n", failures);
    return failures ? 1 : 0;
}
