#include "conf/clog.h"
#include "once/once.h"
#include "order/order.h"
#include "platform/pf.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/*
 * Passes arbitrary bytes to every reader of the platform's log, because programs outside this
 * project may write records to it, too.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void fuzz_append(void *ctx, const char *record)
{
	(void)ctx;
	(void)record;
}

static void fuzz_read(void *ctx, int64_t from)
{
	(void)ctx;
	(void)from;
}

static void fuzz_answer(void *ctx, struct once_requester asker, enum once_verdict verdict,
			const struct once_claim *winner)
{
	(void)ctx;
	(void)asker;
	(void)verdict;
	(void)winner;
}

/*
 * Parses the text as an endpoint's registration. Checks that the reader returns either a record or
 * an error, and that a record has all required fields with valid values.
 */
static void fuzz_endpoint(struct str text)
{
	char *error = NULL;
	struct ep_rec *rec = pf_seam.decl.read_endpoint("i-1", text, &error);

	if ((rec == NULL) == (error == NULL))
		abort();
	if (rec && (!rec->service || !rec->addr || !rec->zone || rec->layer_from < 0 ||
		    rec->layer_to < rec->layer_from || rec->slots < 0 || rec->born_ms < 0))
		abort();
	if (rec)
		ep_rec_unref(rec);
	g_free(error);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static const struct once_ops ops = {fuzz_append, fuzz_read, fuzz_answer};
	struct once_settings settings = {1, 1000};
	struct str record = str_make((const char *)data, len);
	struct clog_verdict verdict;
	struct order order;
	struct once once;
	struct clog clog;

	clog_init(&clog);
	clog_on_record(&clog, 0, record, &verdict);
	clog_on_log_end(&clog);
	clog_on_record(&clog, 1, record, &verdict);
	clog_on_peer_state(&clog, record);
	clog_finish(&clog);
	once_init(&once, &settings, &ops, NULL);
	once_on_record(&once, 0, record, 0);
	once_on_tick(&once, 2000);
	once_finish(&once);
	order_init(&order, "h", 1000);
	order_on_record(&order, 0, record, 0);
	order_finish(&order);
	fuzz_endpoint(record);
	return 0;
}
