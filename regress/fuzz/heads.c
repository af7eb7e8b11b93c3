#include "platform/pf.h"

#include <math.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/*
 * Parses arbitrary lines as the status and headers of an endpoint's answer. Checks that every value
 * read from them is within its allowed range.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void fuzz_check(const struct seam_answer *answer, int status)
{
	const int64_t day_us = INT64_C(86400) * 1000000;

	if (answer->rest_us < 0 || answer->rest_us > day_us)
		abort();
	if (answer->rest != SEAM_REST_NONE && status != 503)
		abort();
	if (answer->rest == SEAM_REST_NONE && answer->rest_us != 0)
		abort();
	if (answer->limit == SEAM_LIMIT_STATED &&
	    (!isfinite(answer->limit_rate) || answer->limit_rate < 0))
		abort();
	if (answer->keep->len % 2 != 0)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static const int statuses[] = {200, 421, 429, 500, 503};
	int status = statuses[len > 0 ? data[0] % G_N_ELEMENTS(statuses) : 0];
	char *text = g_strndup(len > 0 ? (const char *)data + 1 : "", len > 0 ? len - 1 : 0);
	char **lines = g_strsplit(text, "\n", -1);
	GPtrArray *headers = g_ptr_array_new();
	struct seam_answer answer;

	for (char **line = lines; *line; line++)
		g_ptr_array_add(headers, *line);
	pf_seam.wire.read_answer(status, headers, "id", &answer);
	fuzz_check(&answer, status);
	seam_answer_finish(&answer);
	g_ptr_array_unref(headers);
	g_strfreev(lines);
	g_free(text);
	return 0;
}
