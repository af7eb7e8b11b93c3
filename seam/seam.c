#include "seam/seam.h"

#include <string.h>

enum {
	SEAM_NO_DEADLINE = -1 /* value of deadline_ms if the caller states none */
};

void seam_request_init(struct seam_request *request)
{
	memset(request, 0, sizeof(*request));
	request->deadline_ms = SEAM_NO_DEADLINE;
	request->host = g_strdup("");
	request->headers = g_ptr_array_new_with_free_func(g_free);
}

void seam_request_finish(struct seam_request *request)
{
	g_free(request->id);
	g_free(request->host);
	g_free(request->key);
	g_free(request->resume_after);
	g_free(request->parts);
	g_ptr_array_unref(request->headers);
}

void seam_answer_finish(struct seam_answer *answer)
{
	g_free(answer->culprit);
	g_free(answer->type);
	g_free(answer->unknown);
	g_free(answer->lost);
	g_clear_pointer(&answer->keep, g_ptr_array_unref);
}

static void seam_stalled_free(struct seam_stalled *stalled)
{
	g_free(stalled->request);
	g_free(stalled->culprit);
	g_free(stalled);
}

void seam_report_finish(struct seam_report *report)
{
	for (guint i = 0; report->stalled && i < report->stalled->len; i++)
		seam_stalled_free(report->stalled->pdata[i]);
	g_clear_pointer(&report->stalled, g_ptr_array_unref);
}
