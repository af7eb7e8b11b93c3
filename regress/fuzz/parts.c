#include "platform/pf.h"
#include "quar/part.h"
#include "router/quarantine.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/*
 * Reads arbitrary bytes as the list of a prompt's parts, and as another host's message with
 * evidence about parts, which is merged and judged. Checks the bounds of what is read.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

enum {
	FUZZ_NOW_US = 1000000000 /* time of the message, in us */
};

static void fuzz_list(const uint8_t *data, size_t len)
{
	char *text = g_strndup((const char *)data, len);
	struct seam_request request;

	seam_request_init(&request);
	pf_seam.wire.read_header(&request, "Bronzegauge-Prompt-Prefix", text);
	if (request.n_parts < 0 || request.n_parts > SEAM_PARTS_MAX)
		abort();
	if ((request.n_parts == 0) != (request.parts == NULL))
		abort();
	if (request.headers->len != 1)
		abort();
	seam_request_finish(&request);
	g_free(text);
}

static void fuzz_check_entry(void *ctx, const struct part_entry *entry)
{
	(void)ctx;
	if (entry->n < 0 || entry->n > PART_CRASHES_MAX)
		abort();
	for (int i = 0; i < entry->n; i++) {
		if (entry->crashes[i].at_us > FUZZ_NOW_US)
			abort();
	}
}

static void fuzz_message(const uint8_t *data, size_t len)
{
	struct quar_msg_list list;
	GArray *findings;
	struct part_table table;

	if (quar_msg_unpack(data, len, FUZZ_NOW_US, &list) < 0)
		return;
	findings = g_array_new(FALSE, FALSE, sizeof(struct part_finding));
	part_init(&table);
	for (guint i = 0; i < list.evidence->len; i++)
		part_merge(&table, list.evidence->pdata[i], FUZZ_NOW_US);
	part_foreach(&table, fuzz_check_entry, NULL);
	part_judge(&table, FUZZ_NOW_US, findings);
	part_finish(&table);
	g_array_unref(findings);
	g_ptr_array_unref(list.evidence);
	g_ptr_array_unref(list.entries);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	fuzz_list(data, len);
	fuzz_message(data, len);
	return 0;
}
