#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/pooler/document_cache.hpp>

using namespace hyssoprock;

namespace {

/// Counts what is read; the text is the version.
struct CountingReader
{
    Result<DeploymentDocument> operator()(std::string_view bytes) const
    {
        ++*reads;
        if (bytes == "bad") {
            return failure(ErrorKind::InvalidValue, "not a number");
        }
        DeploymentDocument document;
        document.version = std::stoull(std::string{bytes});
        return document;
    }

    int *reads;
};

} // namespace

// Guards against a large document that each part of a control host reads on its own, also while
// another one is being stored.
Test(documentCache, readsEachDocumentOnce)
{
    int reads = 0;
    DocumentCache cache{CountingReader{&reads}};
    const auto seventh = cache.read("7").value();
    cr_assert_eq(seventh->version, 7U);
    cr_assert(cache.read(std::string{"7"}).value() == seventh, "the typed document is shared");
    const auto eighth = cache.read("8").value();
    cr_assert(cache.read("7").value() == seventh && cache.read("8").value() == eighth);
    cr_assert_eq(reads, 2);
}

// Guards against a document that is refused and read again, and against a refused one that is taken
// for another.
Test(documentCache, keepsTheErrorOfADocument)
{
    int reads = 0;
    DocumentCache cache{CountingReader{&reads}};
    cr_assert(cache.read("bad").error().kind == ErrorKind::InvalidValue);
    cr_assert(cache.read("bad").error().detail == "not a number");
    cr_assert(cache.read("9").value()->version == 9);
    cr_assert_eq(reads, 2);
}

// Guards against memory that grows with each version.
Test(documentCache, dropsOldDocuments)
{
    int reads = 0;
    DocumentCache cache{CountingReader{&reads}};
    const std::weak_ptr<const DeploymentDocument> first = cache.read("1").value();
    (void)cache.read("2");
    (void)cache.read("3");
    cr_assert(first.expired());
}
