# Answers with a long head, of which no byte is sent if their caller has sent much behind its request.
set -euo pipefail

here=$(cd "$(dirname "$0")/../.." && pwd)
"${BUILD:-$here/build}"/unit-tests \
	--gtest_filter='HdTest.AnswerWithALongHeadArrivesThoughMoreWasSentBehindItsRequest' --gtest_brief=1
