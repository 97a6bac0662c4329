// Samples for evaluation-order. It must report each line that ends with
// "finding" and no other. The two first are the expressions of issue 43.
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace samples {

struct Part
{
  std::string mId;
  int mRank = 0;
};

void Merge(Part& aInto, Part aPart)
{
  aInto = std::move(aPart);
}

void Adopt(const std::string& /*aId*/, Part&& /*aPart*/) {}

int Sum(int aLeft, int aRight)
{
  return aLeft + aRight;
}

int Advance(int& aNumber)
{
  return ++aNumber;
}

struct Pair
{
  Pair(int aLeft, int aRight)
    : mSum(aLeft + aRight)
  {
  }
  int mSum;
};

class Numbers
{
public:
  int NumberOf(const std::string& aName)
  {
    const int next = static_cast<int>(mNumbers.size());
    return mNumbers.try_emplace(aName, next).first->second;
  }
  int Size() const { return static_cast<int>(mNumbers.size()); }

  bool IsFirst(int aDue)
  {
    return mDue.insert(aDue).first == mDue.begin(); // finding
  }

  bool IsFirstInTwoSteps(int aDue)
  {
    const auto inserted = mDue.insert(aDue).first;
    return inserted == mDue.begin();
  }

  int NextAndSize() { return Sum(Next(), Size()); } // finding

private:
  int Next() { return mNext++; }

  int mNext = 0;
  std::set<int> mDue;
  std::map<std::string, int> mNumbers;
};

template<typename T>
int SumOfTwo(T& aDraw)
{
  return Sum(aDraw(), aDraw()); // finding
}

void Bad(std::unique_ptr<Part> aPart, std::optional<Part> aOther)
{
  std::map<std::string, Part> parts;
  Merge(parts[aPart->mId], std::move(*aPart));   // finding
  Merge(parts[aOther->mId], std::move(*aOther)); // finding

  Numbers numbers;
  Sum(numbers.NumberOf("a"), numbers.NumberOf("b"));           // finding
  const Pair built(numbers.NumberOf("a"), numbers.Size());     // finding
  const int both = numbers.NumberOf("a") + numbers.Size();     // finding
  const bool isSame = numbers.Size() == numbers.NumberOf("c"); // finding

  std::mt19937 random(1);
  std::uniform_int_distribution<int> dice(1, 6);
  const auto draw = [&random] { return static_cast<int>(random() % 6); };
  const std::function<int()> unseen = draw;
  Sum(dice(random), dice(random));                    // finding
  Sum(draw(), draw());                                // finding
  Sum(unseen(), unseen());                            // finding
  const std::string text = std::to_string(random()) + // finding
                           std::to_string(random());
  const auto shared = std::make_shared<Pair>(draw(), draw()); // finding
  SumOfTwo(random);

  int number = built.mSum + both + (isSame ? 1 : 0);
  Sum(number++, number);                      // finding
  Sum(Advance(number), number);               // finding
  Sum(number, Advance(number));               // finding
  Sum((number = 3), number);                  // finding
  const int total = Advance(number) * number; // finding
  int* const pointer = &number;
  Sum((*pointer)++, *pointer + total); // finding
}

void Good(std::unique_ptr<Part> aPart, std::vector<int> aNumbers)
{
  std::map<std::string, Part> parts;
  // The move is a cast only: the callee's parameter is a reference.
  Adopt(aPart->mId, std::move(*aPart));
  Part& into = parts[aPart->mId];
  Merge(into, std::move(*aPart));

  // Braces, shifts, subscripts, assignments and logical operators have an
  // order.
  std::mt19937 random(1);
  const auto draw = [&random] { return static_cast<int>(random() % 6); };
  const std::pair<int, int> drawn{ draw(), draw() };
  const Pair built{ draw(), draw() };
  std::ostringstream out;
  out << draw() << draw();
  parts["a"] = Part{ "b", draw() };
  const bool isBoth = draw() == 1 && draw() == 2;

  // Two reads, and two changes of different objects.
  int left = drawn.first + built.mSum + (isBoth ? 1 : 0);
  int right = drawn.second;
  Sum(Advance(left), Advance(right));
  Sum(left, left + right);
  Sum(aNumbers.front(), aNumbers.back());
  const auto length = std::distance(aNumbers.begin(), aNumbers.end());
  Part one{ "one", static_cast<int>(length) };
  Sum(Advance(one.mRank), static_cast<int>(one.mId.size()));
}

} // namespace samples
