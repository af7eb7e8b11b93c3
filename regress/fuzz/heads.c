#include "platform/pf.h"

#include <math.h>
#include <microhttpd.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/*
 * Parses arbitrary lines as the status and headers of an endpoint's answer. Checks that every value
 * read from them is within its allowed range, and that the caller gets what was judged: the HTTP
 * library takes each header that is kept, and an answer that may be passed on has one seal.
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
	if (answer->head.not_run && status < 400)
		abort();
}

/* Returns the number of seals that the HTTP library sends, and aborts if it drops a header. */
static int fuzz_count_sent_seals(const struct seam_answer *answer)
{
	struct MHD_Response *resp =
		MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
	int n = 0;

	if (!resp)
		abort();
	if (answer->type && MHD_add_response_header(resp, "Content-Type", answer->type) != MHD_YES)
		abort();
	for (guint i = 0; i < answer->keep->len; i += 2) {
		const char *name = answer->keep->pdata[i];

		if (MHD_add_response_header(resp, name, answer->keep->pdata[i + 1]) != MHD_YES)
			abort();
		n += g_ascii_strcasecmp(name, "Bronzegauge-Response-Seal") == 0;
	}
	MHD_destroy_response(resp);
	return n;
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
	if (fuzz_count_sent_seals(&answer) != 1 && !fwd_head_fault(&answer.head))
		abort();
	seam_answer_finish(&answer);
	g_ptr_array_unref(headers);
	g_strfreev(lines);
	g_free(text);
	return 0;
}
